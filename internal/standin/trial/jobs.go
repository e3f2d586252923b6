package trial

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Submitted is a job and what its caller was told.
type Submitted struct {
	Path     string
	Tasks    int
	Accepted bool
	// Refused reports that every try was turned away as not accepted.
	Refused bool
}

const (
	// tries and tryPause are a caller's repetitions under the same id.
	tries    = 6
	tryPause = 300 * time.Millisecond
)

// Submit hands in a job of two steps whose tasks work for workMs each, again
// until it has a final answer.
func (c *Caller) Submit(pool string, number, width, workMs int) Submitted {
	s := Submitted{Path: fmt.Sprintf("/%s/%016x", pool, number), Tasks: width + 1, Refused: true}
	body := fmt.Sprintf(`{"spec":"%d","steps":[{"count":%d,"cpu":1000,"memMb":64,"estMs":%d},{"count":1,"cpu":1000,"memMb":64,"estMs":%d,"after":[0]}]}`,
		workMs, width, workMs, workMs)
	for range tries {
		status, _ := c.Do(http.MethodPost, s.Path, body)
		switch status {
		case http.StatusOK:
			s.Accepted, s.Refused = true, false
			return s
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			s.Refused = false
		}
		time.Sleep(tryPause)
	}
	return s
}

// State returns a job's state as a caller sees it, or "" where nobody answers.
func (c *Caller) State(path string) string {
	status, answer := c.Do(http.MethodGet, path, "")
	if status == http.StatusGone {
		return "gone"
	}
	if status != http.StatusOK {
		return ""
	}
	for _, state := range []string{"queued", "running", "completed", "failed", "cancelled"} {
		if strings.Contains(answer, `"`+state+`"`) {
			return state
		}
	}
	return ""
}

// AwaitAll waits until every accepted job is shown as completed, and returns
// those that are not within the limit.
func (c *Caller) AwaitAll(jobs []Submitted, limit time.Duration) []string {
	deadline := time.Now().Add(limit)
	var left []string
	for _, j := range jobs {
		if !j.Accepted {
			continue
		}
		state := c.State(j.Path)
		for state != "completed" && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
			state = c.State(j.Path)
		}
		if state != "completed" {
			left = append(left, j.Path+" is "+state)
		}
	}
	return left
}
