package ferryreport

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"cactusferry.dev/ferrybench/ferryexperiment"
)

// WriteText writes a table with one line for all calls, one per kind of call and one per customer.
func WriteText(w io.Writer, r *ferryexperiment.Result) error {
	fmt.Fprintf(w, "workload %s, seed %d, policy %s (%s, %s)\n", r.Workload, r.Seed, r.Policy.Name, r.Policy.Queue, r.Policy.Route)
	fmt.Fprintf(w, "bound %.0f tokens/s; %d refusals, %d of them later than 100 ms; %d resumed; %.2f%% of the work thrown away\n",
		r.Bound, r.Refusals, r.LateRefusals, r.Resumes, 100*float64(r.Queue.Repeated)/float64(max(1, r.Queue.Served)))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "calls\toffered\tadmitted\tin time\tlate\trefused\texpired\tfailed\twait p50\tp99\tfirst p50\tp95\tp99\tanswer p50\tp99\tbetween p95\t")
	groups := append([]*ferryexperiment.Group{&r.All}, r.Kinds...)
	for _, g := range append(groups, r.Customers...) {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", g.Name, g.Offered, g.Admitted, g.InTime, g.Late, g.Refused, g.Expired, g.Failed)
		for _, d := range []time.Duration{g.Wait.P50, g.Wait.P99, g.First.P50, g.First.P95, g.First.P99, g.Answer.P50, g.Answer.P99, g.Between.P95} {
			fmt.Fprintf(tw, "%s\t", roundDuration(d))
		}
		fmt.Fprintln(tw)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}

func roundDuration(d time.Duration) time.Duration {
	if d >= time.Second {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(100 * time.Microsecond)
}

// WriteJSON writes r to a file as indented JSON.
func WriteJSON(path string, r any) error {
	b, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
