// The case: a job that is due every second since midnight is handed in at noon. All its
// occurrences that are due are expanded at once. It is run by run.sh.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"cyclamenwheel/review/rig2"
)

const (
	pool = "fieldlog"
	// width is the widest step of the small site's scheduled kinds of request.
	width      = 24
	everyMs    = 1000
	halfDay    = 12 * 3600
	work       = 200 * time.Millisecond
	trafficFor = 30 * time.Second
	finish     = 14 * time.Second
	memoryMB   = 284
	retries    = 4
	retryAfter = time.Second
	// fault is how many ends of processes are a fault.
	fault     = 3
	restart   = time.Second
	scheduled = "5c0e7a21d94b0000"
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
	c.WatchMemory(memoryMB, restart)

	missed := int64(halfDay)
	if os.Getenv("TROUBLE") == "0" {
		missed = 2
	}
	job := rig2.Job{Spec: "(text)", Times: 2 * halfDay, StartAtMs: time.Now().UnixMilli() - missed*everyMs, IntervalMs: everyMs,
		Steps: []rig2.Step{rig2.Step{Count: width, CPU: 500, MemMb: 256, EstMs: 200}.Lasting(work)}}
	// After no response or a 504 the request arrives again, at any node; the site's clients try four
	// times more.
	for try := range 1 + retries {
		a := c.Submit(c.Nodes[try%len(c.Nodes)], route, scheduled, job)
		record.Line("the scheduled job is answered %d", a.Status)
		if a.Status == http.StatusOK {
			break
		}
		time.Sleep(retryAfter)
	}
	small := rig2.Job{Spec: "(text)", Steps: []rig2.Step{rig2.Step{Count: 2, CPU: 500, MemMb: 256, EstMs: 500}.Lasting(500 * time.Millisecond)}}
	var accepted []string
	for n, until := 1, time.Now().Add(trafficFor); time.Now().Before(until); n++ {
		id := fmt.Sprintf("5c0e7a21d94b%04x", n)
		if c.Submit(c.Nodes[n%len(c.Nodes)], route, id, small).Status == http.StatusOK {
			accepted = append(accepted, id)
		}
		time.Sleep(time.Second)
	}
	record.Line("end of the traffic; %d small jobs were accepted", len(accepted))
	time.Sleep(finish)
	lost := 0
	for _, id := range accepted {
		if a := c.Ask(c.Nodes[0], route, id); a.State != "completed" {
			lost++
			record.Line("LOST: job %s: %d %s", id, a.Status, a.State)
		}
	}
	killed := c.Killed()
	record.Line("processes over their memory: %d; small jobs that are not completed: %d of %d", killed, lost, len(accepted))
	if killed >= fault || lost > 0 {
		record.Line("broken")
		return rig2.Broken
	}
	record.Line("held")
	return rig2.Held
}
