package main

import (
	"math"

	"cactusferry.dev/ferrybench/ferryexperiment"
	"cactusferry.dev/ferrybench/ferryshortage"
	"cactusferry.dev/ferrybench/ferryworkload"
)

// rankValues are the values of a call of design 0017 and the part of it that a late response earns, by rank.
var rankValues = []struct{ call, late float64 }{{2.7, 0.1}, {1.5, 0.25}, {0.81, 0.37}}

// measureShortage runs a workload whose kinds are ranks on engines with too little memory. The targets are the
// requirements of design 0017.
func measureShortage(w *ferryworkload.Workload, p ferryexperiment.Policy) (measures, *ferryexperiment.Result) {
	r := ferryshortage.Run(w, w.Arrivals(), p)
	inTime, credit, value, possible := make([]float64, len(w.Kinds)), make([]float64, len(w.Kinds)), 0.0, 0.0
	for i, k := range w.Kinds {
		g, v := r.Kind(k.Name), rankValues[i]
		inTime[i] = share(g.InTime, g.Offered)
		credit[i] = (float64(g.InTime) + v.late*float64(g.Late)) / float64(max(1, g.Offered))
		value += v.call * credit[i] * float64(g.Offered)
		possible += v.call * float64(g.Offered)
	}
	mean, minCustomer := share(r.All.InTime, r.All.Offered), math.Inf(1)
	for _, c := range w.Customers {
		g := r.Customer(c.Name)
		minCustomer = min(minCustomer, share(g.InTime, g.Offered)/mean)
	}
	return measures{
		{"share of credit of rank 0 less that of rank 1", "of calls", atLeast(-0.02), credit[0] - credit[1]},
		{"share of credit of rank 1 less that of rank 2", "of calls", atLeast(-0.02), credit[1] - credit[2]},
		{"share of credit of the least urgent rank", "of calls", atLeast(1.0 / 3), credit[2]},
		{"sends that engines refuse for lack of memory", "of sends", atMost(0.05), share(r.Full, r.Sends)},
		{"refusals within 100 ms", "of refusals", target{}, 1 - share(r.LateRefusals, r.Refusals)},
		{"least share in time of a customer, over that of all calls", "x", atLeast(0.25), minCustomer},
		{"share in time of the largest tenth, over that of all calls", "x", atLeast(0.5), share(r.Large.InTime, r.Large.Offered) / mean},
		{"calls of rank 0 in time", "of calls", target{}, inTime[0]},
		{"calls of rank 1 in time", "of calls", target{}, inTime[1]},
		{"calls of rank 2 in time", "of calls", target{}, inTime[2]},
		{"value of the calls", "of possible", target{}, value / possible},
		{"memory of the engines in use", "of memory", target{}, r.Used},
	}, r.Result
}
