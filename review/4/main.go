// The case: occurrences of one scheduled job overlap until the job's progress no longer fits into
// one record of the store. It is run by run.sh.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"cyclamenwheel/review/rig2"
)

const (
	pool       = "fieldlog"
	parts      = 400
	partWork   = 1200 * time.Millisecond
	lastWork   = 45 * time.Second
	overlapMs  = 1000
	apartMs    = 50000
	trafficFor = 40 * time.Second
	finish     = 14 * time.Second
	inTime     = 3 * time.Second
	scheduled  = "5c0e7a21d94b0000"
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
	route := rig2.Route{Name: "r-tablet", Host: "pule25.example", Prefix: "/puxa400/", Service: pool, Attempts: 4, Stretch: 1.6}
	c.Publish(7, []rig2.Route{route}, pool)
	if err := c.AddWorkers(c.IP(1), pool, 9); err != nil {
		return rig2.Fail(record, "%v", err)
	}
	if err := c.StartNodes(5); err != nil {
		return rig2.Fail(record, "%v", err)
	}
	time.Sleep(3 * time.Second)

	interval := int64(overlapMs)
	if os.Getenv("TROUBLE") == "0" {
		interval = apartMs
	}
	job := rig2.Job{Spec: "(text)", Times: 60, StartAtMs: time.Now().Add(time.Second).UnixMilli(), IntervalMs: interval, Steps: []rig2.Step{
		rig2.Step{Count: parts, CPU: 100, MemMb: 16, EstMs: int(partWork.Milliseconds()), Checkpoints: true}.Lasting(partWork),
		rig2.Step{Count: 1, CPU: 100, MemMb: 16, EstMs: int(lastWork.Milliseconds()), After: []int{0}}.Lasting(lastWork)}}
	if a := c.Submit(c.Nodes[0], route, scheduled, job); a.Status != http.StatusOK {
		return rig2.Fail(record, "the scheduled job is not accepted: %d", a.Status)
	}
	small := rig2.Job{Spec: "(text)", Steps: []rig2.Step{rig2.Step{Count: 2, CPU: 500, MemMb: 256, EstMs: 500}.Lasting(500 * time.Millisecond)}}
	accepted := []string{scheduled}
	for n, until := 1, time.Now().Add(trafficFor); time.Now().Before(until); n++ {
		id := fmt.Sprintf("5c0e7a21d94b%04x", n)
		if c.Submit(c.Nodes[n%len(c.Nodes)], route, id, small).Status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Second)
	}
	record.Line("end of the traffic; %d jobs were accepted", len(accepted))
	time.Sleep(finish)
	return judge(c, route, accepted)
}

// judge asks for all accepted jobs as LOST says.
func judge(c *rig2.Cluster, route rig2.Route, accepted []string) int {
	broken := 0
	began := time.Now()
	for _, id := range accepted {
		a := answered(c, route, id, began)
		running := 0
		for _, r := range c.Runs(id) {
			if r.How == "" {
				running++
			}
		}
		switch {
		case a.Status != http.StatusOK:
			broken++
			c.Record.Line("LOST: job %s gets no answer in time, last status %d", id, a.Status)
		case id != scheduled && a.State != "completed":
			broken++
			c.Record.Line("LOST: job %s is %s and %d of its tasks run", id, a.State, running)
		default:
			c.Record.Line("job %s is %s", id, a.State)
		}
	}
	ends := map[string]int{}
	for _, id := range accepted {
		for _, r := range c.Runs(id) {
			ends[r.How]++
		}
	}
	refused, largest := c.TooLarge()
	c.Record.Line("ends of runs: %v; appends over a limit of the store: %d, largest record %d bytes of %d", ends, refused, largest, rig2.RecordBytes)
	if broken > 0 {
		c.Record.Line("broken: %d of %d accepted jobs", broken, len(accepted))
		return rig2.Broken
	}
	c.Record.Line("held")
	return rig2.Held
}

// answered asks one node after the other until one answers with the job's state.
func answered(c *rig2.Cluster, route rig2.Route, id string, began time.Time) rig2.Answer {
	var a rig2.Answer
	for n := 0; n < len(c.Nodes) || time.Since(began) < inTime; n++ {
		if a = c.Ask(c.Nodes[n%len(c.Nodes)], route, id); a.Status == http.StatusOK {
			return a
		}
		time.Sleep(20 * time.Millisecond)
	}
	return a
}
