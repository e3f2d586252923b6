package explain

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"cyclamenwheel/internal/executor"
	"cyclamenwheel/internal/shards"
)

// NodeDump is the state dump of one node on the users' platform.
type NodeDump struct {
	// Node is the operator address of the node. Err says why it did not answer.
	Node   string              `json:"node"`
	Err    string              `json:"error,omitempty"`
	Duties shards.Status       `json:"duties"`
	Pools  []executor.PoolDump `json:"pools"`
	// Gate is the dump of the node's gate for submissions, if it was requested and the node has one.
	Gate json.RawMessage `json:"gate,omitempty"`
}

// NotFoundError reports that no answering node has the object.
type NotFoundError struct {
	Kind Kind
	Name string
	// Unanswered lists the nodes that did not answer.
	Unanswered []string
}

func (e *NotFoundError) Error() string {
	text := fmt.Sprintf("no node that answered has %s %q", e.Kind, e.Name)
	if e.Kind == KindJob {
		text += " open or failed: it has ended otherwise, was never accepted, or its pool has no owner"
	}
	if len(e.Unanswered) > 0 {
		text += "; not answered: " + strings.Join(e.Unanswered, ", ")
	}
	return text
}

// FromNodes explains a job or a pool from the state dumps of nodes.
func FromNodes(dumps []NodeDump, kind Kind, name string) (Explanation, error) {
	notFound := &NotFoundError{Kind: kind, Name: name}
	for _, d := range dumps {
		if d.Err != "" {
			notFound.Unanswered = append(notFound.Unanswered, d.Node)
		}
	}
	switch kind {
	case KindJob:
		for _, d := range dumps {
			for _, p := range d.Pools {
				if i := slices.IndexFunc(p.Jobs, func(j executor.JobDump) bool { return j.ID == name }); i >= 0 {
					return explainOpenJob(d, p, p.Jobs[i]), nil
				}
				if i := slices.IndexFunc(p.Failed, func(j executor.FailedDump) bool { return j.ID == name }); i >= 0 {
					return explainFailedJob(d, p, p.Failed[i]), nil
				}
			}
		}
	case KindPool:
		if e, found := explainPoolFromNodes(dumps, name); found {
			return e, nil
		}
	default:
		return Explanation{}, &UnknownKindError{kind}
	}
	return Explanation{}, notFound
}

func explainOpenJob(d NodeDump, p executor.PoolDump, j executor.JobDump) Explanation {
	e := Explanation{Kind: KindJob, Name: j.ID, Is: []string{
		fmt.Sprintf("%s in pool %s, queue %s; owner %s, epoch %d", j.State, p.Summary.Pool, j.Queue, d.Node, p.Epoch),
		fmt.Sprintf("%d tasks placed, tasks of %d steps waiting", j.Running, len(j.Waiting)),
		objectiveText(j.ObjectiveMs),
	}}
	e.WaitsFor, e.Unblock, e.Why = j.Waiting, j.Unblock, j.Crashes
	return e
}

func explainFailedJob(d NodeDump, p executor.PoolDump, j executor.FailedDump) Explanation {
	return Explanation{Kind: KindJob, Name: j.ID, Why: []string{j.Reason}, Is: []string{
		fmt.Sprintf("failed in pool %s, queue %s, %d ms ago; owner %s, epoch %d", p.Summary.Pool, j.Queue, j.EndedAgoMs, d.Node, p.Epoch)}}
}

func objectiveText(ms int64) string {
	if ms < 0 {
		return fmt.Sprintf("late by %d ms: it comes after jobs that can still be in time", -ms)
	}
	return fmt.Sprintf("in time if it ends within %d ms", ms)
}

// explainPoolFromNodes explains a pool from the dump of its owner. If no owner
// answered, it reports which node each answering node believes to be the owner.
func explainPoolFromNodes(dumps []NodeDump, name string) (Explanation, bool) {
	e := Explanation{Kind: KindPool, Name: name}
	for _, d := range dumps {
		for _, p := range d.Pools {
			if p.Summary.Pool == name {
				e.Is = append(e.Is, fmt.Sprintf("owner %s, epoch %d", d.Node, p.Epoch), loadText(p.Summary))
				e.WaitsFor = append(e.WaitsFor, unavailableEndpoints(p.Endpoints)...)
			}
		}
	}
	if len(e.Is) > 0 {
		return e, true
	}
	for _, d := range dumps {
		for _, duty := range d.Duties.Duties {
			if duty.Duty == name {
				e.Why = append(e.Why, fmt.Sprintf("%s takes %s for its owner", d.Node, duty.Owner))
			}
		}
	}
	if len(e.Why) == 0 {
		return e, false
	}
	e.Is = []string{"no node that answered owns it"}
	e.Unblock = []string{"a claim: see the claimants' lines \"claim failed\", and whether they reach the store"}
	return e, true
}

func loadText(s executor.Summary) string {
	return fmt.Sprintf("%d endpoints with %.1f of %.1f cores in use, %.1f by lasting tasks; %d jobs open, %d tasks waiting",
		s.Endpoints, cores(s.RunningCPUMilli), cores(s.CapacityMilli), cores(s.LongRunningCPUMilli), s.Jobs, s.WaitingTasks)
}

func cores(milli int) float64 { return float64(milli) / 1000 }

// unavailableEndpoints lists the endpoints that accept no tasks, and why.
func unavailableEndpoints(endpoints []executor.EndpointDump) []string {
	var out []string
	for _, e := range endpoints {
		switch {
		case e.Vacating:
			out = append(out, fmt.Sprintf("endpoint %s is cleared for an operation, %d tasks left", e.ID, e.Tasks))
		case e.Draining:
			out = append(out, fmt.Sprintf("endpoint %s drains, %d tasks left", e.ID, e.Tasks))
		case e.FailedPolls > 0:
			out = append(out, fmt.Sprintf("endpoint %s has left %d calls unanswered; its lease ends in %d ms", e.ID, e.FailedPolls, e.LeaseEndsMs))
		case e.QuarantineMs > 0:
			out = append(out, fmt.Sprintf("endpoint %s is quarantined for %d ms more", e.ID, e.QuarantineMs))
		}
	}
	return out
}
