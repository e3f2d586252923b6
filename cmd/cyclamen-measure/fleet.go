package main

import "cyclamenwheel/internal/measure/fleet"

func init() { suites["fleet"] = fleet.Run }
