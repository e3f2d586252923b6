package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the rule LOST.
const (
	// FinishTime is how long after the end of the traffic accepted jobs are asked for.
	FinishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running while there is room for it.
	idleTime = 3 * time.Second
	// askTime is how long the state of the jobs is asked for again after answers that don't give it.
	askTime = 5 * time.Second
)

// Job is a job that was accepted.
type Job struct{ Pool, ID string }

// Object is a JSON object.
type Object = map[string]any

// Jobs hands in jobs and judges what became of those that were accepted.
type Jobs struct {
	Rec      *Record
	Platform *Platform
	Client   *Client
	mu       sync.Mutex
	accepted []Job
	refused  int
	open     int
}

// Step returns a step of tasks of one core.
func Step(count, ms int) Object {
	return Object{"count": count, "cpu": 1000, "memMb": 256, "estMs": ms}
}

// Spec returns the spec that tells the workers what to do.
func Spec(w Work) string {
	text, _ := json.Marshal(w)
	return string(text)
}

// Submit hands in a job, and counts it among the accepted ones if it is and judged is set.
func (j *Jobs) Submit(pool string, body Object, judged bool) (id string, status int) {
	id = NewID()
	text, _ := json.Marshal(body)
	status, answer := j.Client.Call(http.MethodPost, "/"+pool+"/"+id, string(text))
	j.Rec.Printf("client: POST /%s/%s -> %d %s", pool, id, status, strings.TrimSpace(answer))
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case status/100 == 2 && judged:
		j.accepted = append(j.accepted, Job{pool, id})
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		j.refused++
	case status/100 != 2:
		j.open++
	}
	return id, status
}

// Summary records how many jobs were accepted.
func (j *Jobs) Summary() {
	j.Rec.Printf("traffic ends: %d jobs accepted, %d refused, %d without an answer", len(j.accepted), j.refused, j.open)
}

// ask asks for the state of a job at one node after the other until it is told, or askTime has passed
// since the first question.
func (j *Jobs) ask(job Job, since time.Time) (status int, answer string) {
	for {
		status, answer = j.Client.Call(http.MethodGet, "/"+job.Pool+"/"+job.ID, "")
		if status == http.StatusOK || status == http.StatusGone || time.Since(since) > askTime {
			return status, answer
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Judge asks for the state of all accepted jobs, and watches for idleTime whether those that are not
// completed run, while their pool has room. It returns the number of broken rules, with those that
// the workers saw.
func (j *Jobs) Judge() int {
	waiting := map[Job]bool{}
	broken, asked, count := 0, time.Now(), map[string]int{}
	for _, job := range j.accepted {
		status, answer := j.ask(job, asked)
		var state struct{ State string }
		_ = json.Unmarshal([]byte(answer), &state)
		count[fmt.Sprintf("%s %d %s", job.Pool, status, state.State)]++
		switch {
		case status != http.StatusOK:
			broken++
			j.Rec.Printf("BROKEN LOST: accepted job %s of %s is asked for and answered %d %s, %s after the first question", job.ID, job.Pool, status, strings.TrimSpace(answer), time.Since(asked).Round(time.Second))
		case state.State == "failed" || state.State == "cancelled":
			broken++
			j.Rec.Printf("BROKEN LOST: accepted job %s of %s is shown as %s without cause", job.ID, job.Pool, state.State)
		case state.State != "completed":
			waiting[job] = true
		}
	}
	for _, line := range sortedCounts(count) {
		j.Rec.Printf("states of accepted jobs: %s", line)
	}
	for began := time.Now(); time.Since(began) < idleTime; time.Sleep(100 * time.Millisecond) {
		j.dropRunning(waiting)
	}
	for job := range waiting {
		broken++
		j.Rec.Printf("BROKEN LOST: accepted job %s of %s has had nothing running for %s, %s after the end of the traffic, with room for it", job.ID, job.Pool, idleTime, FinishTime)
	}
	violations := j.Platform.Violations()
	j.Rec.Printf("%d broken by what callers saw, %d by what workers saw", broken, len(violations))
	return broken + len(violations)
}

// dropRunning removes the jobs that have something running, or whose pool is more than half in use.
func (j *Jobs) dropRunning(waiting map[Job]bool) {
	pools := map[string]bool{}
	for job := range waiting {
		pools[job.Pool] = true
	}
	for pool := range pools {
		tasks, used, capacity := j.Platform.Running(pool)
		running := map[string]bool{}
		for task := range tasks {
			running[strings.Split(task, ".")[0]] = true
		}
		for job := range waiting {
			if job.Pool == pool && (running[job.ID] || 2*used >= capacity) {
				delete(waiting, job)
			}
		}
	}
}

func sortedCounts(count map[string]int) []string {
	var out []string
	for k, n := range count {
		out = append(out, fmt.Sprintf("%s: %d", k, n))
	}
	slices.Sort(out)
	return out
}
