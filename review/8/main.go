// The case: one of twelve workers fails all that it starts, and a gang is placed there. It is run by
// run.sh.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"cyclamenwheel/review/rig2"
)

const (
	pool     = "faultdesk"
	attempts = 2
	members  = 3
	workers  = 12
	work     = 900 * time.Millisecond
	lasts    = 12 * time.Second
	greyFor  = 6500 * time.Millisecond
	gangs    = 4
	every    = time.Second
	finish   = 14 * time.Second
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
	route := rig2.Route{Name: "r-inspect", Host: "pule25.example", Prefix: "/defi252/", Service: pool, Attempts: attempts, Stretch: 1.6}
	if err := c.AddWorkers(c.IP(1), pool, workers); err != nil {
		return rig2.Fail(record, "%v", err)
	}
	c.Publish(7, []rig2.Route{route}, pool)
	if err := c.StartNodes(5); err != nil {
		return rig2.Fail(record, "%v", err)
	}
	time.Sleep(3 * time.Second)

	other := rig2.Job{Spec: "(text)", Steps: []rig2.Step{rig2.Step{Count: 4, CPU: 2000, MemMb: 256, EstMs: int(lasts.Milliseconds())}.Lasting(lasts)}}
	if a := c.Submit(c.Nodes[0], route, "5c0e7a21d94b0000", other); a.Status != http.StatusOK {
		return rig2.Fail(record, "the first job is not accepted: %d", a.Status)
	}
	time.Sleep(2 * time.Second)
	grey := busiest(c)
	if grey == nil {
		return rig2.Fail(record, "nothing runs")
	}
	if os.Getenv("TROUBLE") != "0" {
		record.Line("worker %s, one of %d, fails all that it starts from now on", grey.ID(), workers)
		grey.SetFailsAll(true)
		time.AfterFunc(greyFor, func() {
			grey.SetFailsAll(false)
			record.Line("worker %s is sound again", grey.ID())
		})
	}
	gang := rig2.Job{Spec: "(text)", Steps: []rig2.Step{rig2.Step{Count: members, CPU: 1000, MemMb: 256, EstMs: int(work.Milliseconds()), Gang: true}.Lasting(work)}}
	var accepted []string
	for n := 1; n <= gangs; n++ {
		id := fmt.Sprintf("5c0e7a21d94b%04x", n)
		if c.Submit(c.Nodes[n%len(c.Nodes)], route, id, gang).Status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(every)
	}
	time.Sleep(finish)
	return judge(c, route, accepted)
}

// busiest returns the worker that runs most.
func busiest(c *rig2.Cluster) *rig2.Worker {
	var best *rig2.Worker
	most := 0
	for _, w := range c.Workers(pool) {
		if n := w.Load(); n > most {
			best, most = w, n
		}
	}
	return best
}

// judge looks for jobs that are shown as failed although their gang has not failed as often as the
// queue allows.
func judge(c *rig2.Cluster, route rig2.Route, accepted []string) int {
	broken := 0
	for _, id := range accepted {
		failed := map[int]bool{}
		for _, r := range c.Runs(id) {
			c.Record.Line("run %d of %s on %s from %s to %s: %s", r.Number, r.Task, r.Worker, c.Record.At(r.Began), c.Record.At(r.Ended), r.How)
			if r.How == "failed" {
				failed[r.Number] = true
			}
		}
		a := c.Send(c.Nodes[0], http.MethodGet, route, id, "")
		if a.State == "failed" && len(failed) < attempts {
			broken++
			c.Record.Line("LOST: job %s is shown as failed; its gang has failed %d times, %d are allowed", id, len(failed), attempts)
		}
	}
	if broken > 0 {
		c.Record.Line("broken")
		return rig2.Broken
	}
	c.Record.Line("held")
	return rig2.Held
}
