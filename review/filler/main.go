// A lasting filler of a less urgent queue in a pool that the work of a more urgent one fills. The
// arguments: the file of the record, the filler's priority (0 or 1), and the ms between two jobs.
package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	"cyclamenwheel/review/rig2"
)

const (
	pool       = "fieldlog"
	filler     = "ffffffffffff0001"
	handedIn   = 5 * time.Second
	trafficFor = 25 * time.Second
	settle     = 6 * time.Second
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
	priority, _ := strconv.Atoi(os.Args[2])
	every, _ := strconv.Atoi(os.Args[3])
	route := rig2.Route{Name: "r-tablet", Host: "pule25.example", Prefix: "/puxa400/", Service: pool, Attempts: 4, Stretch: 1.6}
	lasts := rig2.Route{Name: "r-lasts", Host: "pule25.example", Prefix: "/cufi501/", Service: pool, Attempts: 4, Stretch: 2.2, Priority: priority}
	c.Publish(7, []rig2.Route{route, lasts}, pool)
	if err := c.AddWorkers(c.IP(1), pool, 9); err != nil {
		return rig2.Fail(record, "%v", err)
	}
	if err := c.StartNodes(5); err != nil {
		return rig2.Fail(record, "%v", err)
	}
	time.Sleep(3 * time.Second)
	job := rig2.Job{Spec: "(text)", Steps: []rig2.Step{rig2.Step{Count: 24, CPU: 2000, MemMb: 256, EstMs: 2000}.Lasting(2 * time.Second)}}
	fills := rig2.Job{Spec: "(text)", Steps: []rig2.Step{rig2.Step{Count: 2, CPU: 2000, MemMb: 256, EstMs: 700, LongRunning: true, Fills: true}.Lasting(time.Hour)}}
	var wg sync.WaitGroup
	sent := false
	began := time.Now()
	for n := 1; time.Since(began) < trafficFor; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.Submit(c.Nodes[n%len(c.Nodes)], route, fmt.Sprintf("5c0e7a21d94b%04x", n), job)
		}()
		if !sent && time.Since(began) > handedIn {
			sent = true
			record.Line("the filler is answered %d", c.Submit(c.Nodes[0], lasts, filler, fills).Status)
		}
		time.Sleep(time.Duration(every) * time.Millisecond)
	}
	wg.Wait()
	record.Line("end of the traffic")
	time.Sleep(settle)
	for _, r := range c.Runs(filler) {
		record.Line("filler %s began at %s", r.Task, record.At(r.Began))
	}
	return rig2.Held
}
