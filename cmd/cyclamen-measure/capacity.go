package main

import "cyclamenwheel/internal/measure/capacity"

func init() { suites["capacity"] = capacity.Run }
