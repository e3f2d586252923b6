// The case: one worker of six after the other is cut off from the nodes for some seconds and runs
// on. It is run by run.sh.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"cyclamenwheel/review/rig2"
)

const (
	pool    = "inspectsvc"
	workers = 6
	cuts    = 5
	cutFor  = 5500 * time.Millisecond
	calm    = 5 * time.Second
	// The sizes are those of the site's kinds of request: tasks that last of 8 cores, short ones, and
	// large ones of 30 cores on workers of 64.
	lastingCPU = 8000
	shortCPU   = 2000
	largeCPU   = 30000
	shortMem   = 1000
	largeMem   = 30000
	workerCPU  = 64000
	shortWork  = 1500 * time.Millisecond
	largeWork  = 2 * time.Second
	every      = 400 * time.Millisecond
	finish     = 14 * time.Second
	still      = 3 * time.Second
	lasting    = "5c0e7a21d94ba000"
	large      = "5c0e7a21d94bb000"
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
	route := rig2.Route{Name: "r-inspect", Host: "pule25.example", Prefix: "/defi252/", Service: pool, Attempts: 2, Stretch: 1.6}
	if err := c.AddWorkers(c.IP(1), pool, workers); err != nil {
		return rig2.Fail(record, "%v", err)
	}
	c.Publish(7, []rig2.Route{route}, pool)
	if err := c.StartNodes(5); err != nil {
		return rig2.Fail(record, "%v", err)
	}
	time.Sleep(3 * time.Second)

	stay := rig2.Job{Spec: "(text)", Steps: []rig2.Step{rig2.Step{Count: 5, CPU: lastingCPU, MemMb: 18000, EstMs: 700, LongRunning: true}.Lasting(time.Hour)}}
	if a := c.Submit(c.Nodes[0], route, lasting, stay); a.Status != http.StatusOK {
		return rig2.Fail(record, "the job that lasts is not accepted: %d", a.Status)
	}
	traffic := make(chan []string)
	until := time.Now().Add(cuts*(calm+cutFor) + calm)
	go func() { traffic <- handIn(c, route, until) }()
	for range cuts {
		time.Sleep(calm)
		w := busiest(c)
		if w == nil {
			return rig2.Fail(record, "nothing runs")
		}
		if os.Getenv("TROUBLE") != "0" {
			record.Line("worker %s, one of %d, is cut off from all nodes; %d runs go on there", w.ID(), workers, w.Load())
			w.SetCut(true)
		}
		time.Sleep(cutFor)
		if os.Getenv("TROUBLE") != "0" {
			w.SetCut(false)
			record.Line("worker %s is no longer cut off", w.ID())
		}
	}
	accepted := <-traffic
	big := rig2.Job{Spec: "(text)", Steps: []rig2.Step{rig2.Step{Count: 4, CPU: largeCPU, MemMb: largeMem, EstMs: int(largeWork.Milliseconds())}.Lasting(largeWork)}}
	if a := c.Submit(c.Nodes[1], route, large, big); a.Status != http.StatusOK {
		return rig2.Fail(record, "the large job is not accepted: %d", a.Status)
	}
	accepted = append(accepted, large)
	record.Line("end of the traffic; %d jobs were accepted", len(accepted)+1)
	time.Sleep(finish)
	return judge(c, route, accepted)
}

// handIn hands a short job in now and then.
func handIn(c *rig2.Cluster, route rig2.Route, until time.Time) []string {
	job := rig2.Job{Spec: "(text)", Steps: []rig2.Step{rig2.Step{Count: 2, CPU: shortCPU, MemMb: shortMem, EstMs: int(shortWork.Milliseconds())}.Lasting(shortWork)}}
	var accepted []string
	for n := 1; time.Now().Before(until); n++ {
		id := fmt.Sprintf("5c0e7a21d94b%04x", n)
		if c.Submit(c.Nodes[n%len(c.Nodes)], route, id, job).Status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(every)
	}
	return accepted
}

// busiest returns the worker of the pool that runs most.
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

// judge looks for jobs that, as LOST says, have nothing running for 3 s although a task's turn has
// come, there is capacity for it twice over, and under half of the service's capacity is in use. Each
// job has one step, so that a task's turn has come once it is accepted.
func judge(c *rig2.Cluster, route rig2.Route, accepted []string) int {
	waiting := map[string]string{}
	for _, id := range accepted {
		if a := c.Ask(c.Nodes[0], route, id); a.State != "completed" {
			waiting[id] = fmt.Sprint(a.Status, " ", a.State)
		}
	}
	for until := time.Now().Add(still); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for id := range waiting {
			if !stands(c, id) {
				delete(waiting, id)
			}
		}
	}
	writeRuns(c, accepted)
	for _, w := range c.Workers(pool) {
		cpu, memMb := w.Free()
		c.Record.Line("worker %s is up and has %d runs; free: %d of 64000 thousandths of a core, %d MB", w.ID(), w.Load(), cpu, memMb)
	}
	for _, id := range accepted {
		if state, lost := waiting[id]; lost {
			c.Record.Line("LOST: job %s, accepted, is %s and has nothing running for %v, with capacity for a task of it twice over and under half of all in use", id, state, still)
		}
	}
	if len(waiting) > 0 {
		c.Record.Line("broken: %d of %d jobs stand still", len(waiting), len(accepted))
		return rig2.Broken
	}
	c.Record.Line("held: none of %d jobs stands still", len(accepted))
	return rig2.Held
}

// stands reports whether a job has nothing running, and has not had for 3 s, with room as LOST says.
func stands(c *rig2.Cluster, id string) bool {
	for _, r := range c.Runs(id) {
		if r.How == "" || time.Since(r.Ended) < still {
			return false
		}
	}
	needCPU, needMem := shortCPU, shortMem
	if id == large {
		needCPU, needMem = largeCPU, largeMem
	}
	fits, free, all := 0, 0, 0
	for _, w := range c.Workers(pool) {
		cpu, memMb := w.Free()
		fits += max(0, min(cpu/needCPU, memMb/needMem))
		free += cpu
		all += workerCPU
	}
	return fits >= 2 && 2*(all-free) < all
}

// writeRuns writes what was run to the record.
func writeRuns(c *rig2.Cluster, accepted []string) {
	for _, id := range append([]string{lasting}, accepted...) {
		for _, r := range c.Runs(id) {
			end := "going on"
			if r.How != "" {
				end = c.Record.At(r.Ended) + ": " + r.How
			}
			c.Record.Line("run %d of %s on %s from %s to %s", r.Number, r.Task, r.Worker, c.Record.At(r.Began), end)
		}
	}
}
