package main

import "cyclamenwheel/internal/measure/load"

func init() { suites["load"] = load.Suite }
