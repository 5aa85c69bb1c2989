"""Sends HTTP requests in a closed or open loop and prints a summary as a JSON line.

The number of requests and the time are bounded.
"""

import argparse
import asyncio
import itertools
import json
import random
import sys
import time

from tornado import httpclient

TIMEOUT_S = 120.0


async def run_open_load(urls, requests, rate):
    """Send GET requests in an open loop, with Poisson arrivals at a rate per second.

    Returns latencies in seconds by status, counted from the time at which a request
    was due, and the elapsed seconds.
    """
    client = httpclient.AsyncHTTPClient(max_clients=requests)
    rng = random.Random(1)
    latencies_s_by_status = {}

    async def send(number, due_s):
        await asyncio.sleep(due_s - time.perf_counter())
        try:
            url = urls[number % len(urls)]
            reply = await client.fetch(url, raise_error=False, request_timeout=30.0)
            status = reply.code
        except (OSError, httpclient.HTTPError):
            status = 599
        latencies_s_by_status.setdefault(status, []).append(time.perf_counter() - due_s)

    # The first request is due later, since the creation of all tasks takes a while that
    # must not count as latency.
    start_s = due_s = time.perf_counter() + 0.5
    sending = []
    for number in range(requests):
        due_s += rng.expovariate(rate)
        sending.append(send(number, due_s))
    await asyncio.wait_for(asyncio.gather(*sending), TIMEOUT_S)
    return latencies_s_by_status, time.perf_counter() - start_s


async def run_load(
    urls, requests, concurrency, method="GET", body=None, has_keys=False
):
    """Send requests in a closed loop; return latencies by status and elapsed time in s.

    Each of `concurrency` loops sends its next request when its last one ended. With
    `has_keys` every request carries a unique idempotency key.
    """
    client = httpclient.AsyncHTTPClient(max_clients=concurrency)
    request_numbers = itertools.count()
    latencies_s_by_status = {}
    prefix = f"{time.time_ns():x}"

    async def loop():
        while (number := next(request_numbers)) < requests:
            headers = {"Idempotency-Key": f"{prefix}-{number}"} if has_keys else {}
            start_s = time.perf_counter()
            try:
                reply = await client.fetch(
                    urls[number % len(urls)],
                    raise_error=False,
                    method=method,
                    body=body,
                    headers=headers,
                    request_timeout=30.0,
                )
                status = reply.code
            except (OSError, httpclient.HTTPError):
                status = 599
            latency_s = time.perf_counter() - start_s
            latencies_s_by_status.setdefault(status, []).append(latency_s)

    start_s = time.perf_counter()
    await asyncio.wait_for(
        asyncio.gather(*(loop() for _ in range(concurrency))), TIMEOUT_S
    )
    return latencies_s_by_status, time.perf_counter() - start_s


def quantile(values, share):
    """Return a quantile of a list, nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(latencies_s_by_status, elapsed_s):
    """Return counts by status, and rate and latency quantiles in ms of status 200."""
    succeeded_s = latencies_s_by_status.get(200, [])
    summary = {
        "by_status": {str(k): len(v) for k, v in latencies_s_by_status.items()},
        "per_s": round(len(succeeded_s) / elapsed_s, 1),
    }
    if succeeded_s:
        for name, share in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
            summary[name] = round(quantile(succeeded_s, share) * 1000, 2)
    return summary


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=1000)
    parser.add_argument("--concurrency", type=int, default=1)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--body", default=None)
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--rate", type=float, help="Open loop: requests per second.")
    parser.add_argument("urls", nargs="+")
    options = parser.parse_args()
    if options.rate:
        load = run_open_load(options.urls, options.requests, options.rate)
        json.dump(summarize(*asyncio.run(load)), sys.stdout)
        return
    result = asyncio.run(
        run_load(
            options.urls,
            options.requests,
            options.concurrency,
            options.method,
            options.body,
            options.keyed,
        )
    )
    json.dump(summarize(*result), sys.stdout)


if __name__ == "__main__":
    main()
