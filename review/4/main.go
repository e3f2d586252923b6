// The case: a new version of the configuration takes a route away and adds one with the same host
// and prefix that leads to another service. It is run by run.sh.
package main

import (
	"net/http"
	"os"
	"time"

	"cyclamenwheel/review/rig2"
)

const (
	oldPool = "fieldlog"
	newPool = "readings"
	// work is how long each task takes; the version comes, and the client's request once more,
	// while the tasks run.
	work    = 9 * time.Second
	applied = 2 * time.Second
	visible = 3 * time.Second
	doubled = "5c0e7a21d94b0001"
	asked   = "5c0e7a21d94b0002"
	unwant  = "5c0e7a21d94b0003"
	cancel  = 3 * time.Second
	stops   = 400 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1])) }

func run(file string) int {
	record, err := rig2.NewRecord(file)
	if err != nil {
		return rig2.CannotRun
	}
	c, err := rig2.NewCluster(record)
	if err != nil {
		return rig2.Fail(record, "%v", err)
	}
	defer c.Close()
	before := rig2.Route{Name: "r-tablet", Host: "pule25.example", Prefix: "/puxa400/", Service: oldPool, Attempts: 4, Stretch: 1.6}
	other := rig2.Route{Name: "r-reading", Host: "pule25.example", Prefix: "/tije37/", Service: newPool, Attempts: 4, Stretch: 1.6}
	c.Publish(7, []rig2.Route{before, other}, oldPool, newPool)
	for _, pool := range []string{oldPool, newPool} {
		if err := c.AddWorkers(c.IP(1), pool, 5); err != nil {
			return rig2.Fail(record, "%v", err)
		}
	}
	if err := c.StartNodes(5); err != nil {
		return rig2.Fail(record, "%v", err)
	}
	time.Sleep(3 * time.Second)

	job := rig2.Job{Spec: "(text)", Steps: []rig2.Step{rig2.Step{Count: 4, CPU: 1000, MemMb: 256, EstMs: int(work.Milliseconds())}.Lasting(work)}}
	for _, id := range []string{doubled, asked, unwant} {
		if a := c.Submit(c.Nodes[0], before, id, job); a.Status != http.StatusOK {
			return rig2.Fail(record, "job %s is not accepted: %d", id, a.Status)
		}
	}
	time.Sleep(time.Second)
	after := before
	if os.Getenv("TROUBLE") != "0" {
		after.Name, after.Service = "r-tablet-2", newPool
	}
	c.Publish(9, []rig2.Route{after, other}, oldPool, newPool)
	time.Sleep(applied + time.Second)

	// The first request of the client for this job arrives once more, at another node.
	again := c.Submit(c.Nodes[3], after, doubled, job)
	cancelled := c.Send(c.Nodes[2], http.MethodDelete, after, unwant, "")
	time.Sleep(visible)
	broken := 0
	for _, n := range c.Nodes {
		if a := c.Send(n, http.MethodGet, after, asked, ""); a.Status == http.StatusGone {
			broken++
			record.Line("LOST: job %s, which nobody has cancelled, is answered 410 by %s", asked, n.Name)
		}
	}
	time.Sleep(work)
	broken += twice(c, doubled)
	broken += runOn(c, unwant, cancelled.At)
	record.Line("the request that came again was answered %d", again.Status)
	if broken > 0 {
		record.Line("broken")
		return rig2.Broken
	}
	record.Line("held")
	return rig2.Held
}

// twice counts the pairs of runs of one task that go on at the same time, or of which one begins
// after the other's end as done was taken note of.
func twice(c *rig2.Cluster, id string) int {
	runs := c.Runs(id)
	pairs := 0
	for i, a := range runs {
		c.Record.Line("run %d of %s on %s of %s from %s to %s: %s", a.Number, a.Task, a.Worker, a.Pool, c.Record.At(a.Began), c.Record.At(a.Ended), a.How)
		for _, b := range runs[i+1:] {
			if a.Task != b.Task {
				continue
			}
			together := a.Began.Before(b.Ended) && b.Began.Before(a.Ended)
			if together || a.How == "done" && b.Began.After(a.Acked) {
				pairs++
				c.Record.Line("TWICE: %s runs on %s and on %s", a.Task, a.Worker, b.Worker)
			}
		}
	}
	return pairs
}

// runOn counts the runs of a job that go on for too long after its cancelling was acknowledged.
func runOn(c *rig2.Cluster, id string, cancelled time.Time) int {
	late := 0
	for _, r := range c.Runs(id) {
		c.Record.Line("run %d of %s on %s of %s from %s to %s: %s", r.Number, r.Task, r.Worker, r.Pool, c.Record.At(r.Began), c.Record.At(r.Ended), r.How)
		if on := r.Ended.Sub(cancelled); on > cancel+stops {
			late++
			c.Record.Line("UNASKED: %s runs on for %d ms after the cancelling of its job was acknowledged", r.Task, on.Milliseconds())
		}
	}
	return late
}
