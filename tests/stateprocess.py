"""One replica as a process with the fake machine of `statefleet`."""

from sardinegauge.state import stateapp, statecommand
from tests import statefleet

if __name__ == "__main__":
    stateapp.default_modules = statefleet.modules
    statecommand.main()
