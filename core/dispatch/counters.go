package dispatch

import "expvar"

var counters = expvar.NewMap("Dispatch")
