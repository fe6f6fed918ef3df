#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec python3 -B review/2/case.py
