"""The agent process: requests and tasks beside one upstream."""
