"""A closed-loop HTTP load tool: bounded in requests and time, one line of JSON out."""

import argparse
import asyncio
import itertools
import json
import random
import sys
import time

from tornado import httpclient

LIMIT_S = 120.0


async def run_open_load(urls, requests, rate):
    """Send GET requests at random times at a rate, whether earlier ones ended or not.

    Latencies count from the time at which a request was due.
    """
    client = httpclient.AsyncHTTPClient(max_clients=requests)
    draw = random.Random(1)
    latencies_by_status = {}

    async def send(number, due_s):
        await asyncio.sleep(due_s - time.perf_counter())
        try:
            url = urls[number % len(urls)]
            reply = await client.fetch(url, raise_error=False, request_timeout=30.0)
            status = reply.code
        except (OSError, httpclient.HTTPError):
            status = 599
        latencies_by_status.setdefault(status, []).append(time.perf_counter() - due_s)

    # Starting all tasks takes a while, which must not count as latency.
    started = due_s = time.perf_counter() + 0.5
    sending = []
    for number in range(requests):
        due_s += draw.expovariate(rate)
        sending.append(send(number, due_s))
    await asyncio.wait_for(asyncio.gather(*sending), LIMIT_S)
    return latencies_by_status, time.perf_counter() - started


async def run_load(urls, requests, concurrency, method="GET", body=None, keyed=False):
    """Send requests in a closed loop and return latencies in seconds by status.

    Each of `concurrency` loops sends its next request when the last one ended. With
    `keyed` every request carries an idempotency key of its own.
    """
    client = httpclient.AsyncHTTPClient(max_clients=concurrency)
    numbers = itertools.count()
    latencies_by_status = {}
    prefix = f"{time.time_ns():x}"

    async def loop():
        while (number := next(numbers)) < requests:
            headers = {"Idempotency-Key": f"{prefix}-{number}"} if keyed else {}
            started = time.perf_counter()
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
            elapsed = time.perf_counter() - started
            latencies_by_status.setdefault(status, []).append(elapsed)

    started = time.perf_counter()
    await asyncio.wait_for(
        asyncio.gather(*(loop() for _ in range(concurrency))), LIMIT_S
    )
    return latencies_by_status, time.perf_counter() - started


def quantile(values, share):
    """Return a quantile of a list, nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(latencies_by_status, elapsed_s):
    """Return counts by status, rate and latency quantiles in ms of the 200s."""
    good = latencies_by_status.get(200, [])
    summary = {
        "by_status": {str(k): len(v) for k, v in latencies_by_status.items()},
        "per_s": round(len(good) / elapsed_s, 1),
    }
    if good:
        for name, share in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
            summary[name] = round(quantile(good, share) * 1000, 2)
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
