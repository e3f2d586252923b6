package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"cyclamenwheel/internal/executor"
)

// Messages of the log lines that tell of a submission's fate.
const (
	msgRefusedByOwner = string(executor.EventRefused)
	msgRefusedAtGate  = "submission refused at the gate"
	msgAccepted       = string(executor.EventAccepted)
	msgEnded          = string(executor.EventEnded)
)

// reasonGate is the reason of a refusal at the gate.
const reasonGate = "gate"

// maxLogLine bounds the lines of a log; longer ones, such as a state dump, end the reading of a log
// with an error if they exceed it.
const maxLogLine = 64 << 20

// maxListedRefusals bounds the refusals in an explanation; the newest are listed.
const maxListedRefusals = 20

// logLine is a line of a node's log that concerns a job's submission.
type logLine struct {
	Time        time.Time `json:"time"`
	Node        string    `json:"node"`
	Message     string    `json:"msg"`
	Job         string    `json:"job"`
	Pool        string    `json:"pool"`
	Queue       string    `json:"queue"`
	Account     string    `json:"account"`
	Reason      string    `json:"reason"`
	Epoch       int64     `json:"epoch"`
	Priority    int       `json:"priority"`
	Admit       float64   `json:"admit"`
	WaitMs      int64     `json:"wait_ms"`
	SlackMs     int64     `json:"slack_ms"`
	AgeMs       int64     `json:"age_ms"`
	NoticeAgeMs int64     `json:"notice_age_ms"`
	PredictedMs int64     `json:"predicted_ms"`
	ActualMs    int64     `json:"actual_ms"`
}

// NotInLogsError reports that no log has a line on the fate of a job's submission.
type NotInLogsError struct{ Job string }

func (e *NotInLogsError) Error() string {
	return fmt.Sprintf("no line on job %q in the logs: it was not submitted to these nodes at that time, "+
		"or the line was left out, as nodes write at most some hundreds of lines of one message per second", e.Job)
}

// LogError reports a log that can't be read.
type LogError struct{ Cause error }

func (e *LogError) Error() string { return fmt.Sprintf("read a log: %v", e.Cause) }

func (e *LogError) Unwrap() error { return e.Cause }

// FromLogs explains from nodes' logs, in JSON lines, why submissions of a job were refused.
func FromLogs(logs []io.Reader, job string) (Explanation, error) {
	var lines []logLine
	for _, log := range logs {
		found, err := linesOf(log, job)
		if err != nil {
			return Explanation{}, err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return Explanation{}, &NotInLogsError{job}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	e := Explanation{Kind: KindJob, Name: job}
	e.explainSubmissions(lines)
	return e, nil
}

// linesOf returns the lines of a log that tell of the fate of a job's submissions.
func linesOf(log io.Reader, job string) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var l logLine
		if !bytes.Contains(scanner.Bytes(), []byte(job)) || json.Unmarshal(scanner.Bytes(), &l) != nil || l.Job != job {
			continue
		}
		switch l.Message {
		case msgRefusedByOwner, msgRefusedAtGate, msgAccepted, msgEnded:
			out = append(out, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &LogError{err}
	}
	return out, nil
}

// explainSubmissions describes lines that are sorted by time.
func (e *Explanation) explainSubmissions(lines []logLine) {
	var refusals []logLine
	for _, l := range lines {
		switch l.Message {
		case msgAccepted:
			e.addState("accepted %s by node %s, which owned pool %s under epoch %d", stamp(l), l.Node, l.Pool, l.Epoch)
		case msgEnded:
			e.addState("ended %s: %s%s", stamp(l), l.Reason, predictionText(l))
		default:
			refusals = append(refusals, l)
		}
	}
	if len(refusals) == 0 {
		return
	}
	last := refusals[len(refusals)-1]
	e.addState("refused %d times, last %s: queue %s, account %s, pool %s", len(refusals), stamp(last), last.Queue, orNone(last.Account), last.Pool)
	for _, l := range refusals[max(0, len(refusals)-maxListedRefusals):] {
		e.addReason("%s", refusalText(l))
		if unblock := unblocksRefusal[l.Reason]; unblock != "" && !slices.Contains(e.Unblock, unblock) {
			e.Unblock = append(e.Unblock, unblock)
		}
	}
}

// unblocksRefusal tells by the reason of a refusal what makes further jobs be accepted.
var unblocksRefusal = map[string]string{
	executor.RefusedBacklog:        "less load on the pool or more instances in it: cyclamenctl load and cyclamenctl accounts tell whose work is ahead",
	executor.RefusedAccountBacklog: "fewer jobs of the account, or a higher limit of the account",
	executor.RefusedAccount:        "a higher limit of the account: a part of the job exceeds it by itself",
	executor.RefusedMemory:         "jobs that end, a higher job_memory in the nodes' settings, or more nodes that own pools",
	executor.RefusedIDTaken:        "another job ID: this one belongs to another account",
	reasonGate:                     "what unblocks the pool's owner, on whose notice the node acts: cyclamenctl load tells its load",
}

func refusalText(l logLine) string {
	if l.Message == msgRefusedAtGate {
		return fmt.Sprintf("%s: %s at node %s, without asking the owner: it forwards %.0f%% of the account's submissions at priority %d; "+
			"the owner (epoch %d) predicted a wait of %d ms, %d ms before", stamp(l), l.Reason, l.Node, 100*l.Admit, l.Priority, l.Epoch, l.WaitMs, l.NoticeAgeMs)
	}
	if l.WaitMs == 0 && l.SlackMs == 0 {
		return fmt.Sprintf("%s: %s by owner %s, epoch %d", stamp(l), l.Reason, l.Node, l.Epoch)
	}
	return fmt.Sprintf("%s: %s by owner %s, epoch %d: predicted wait %d ms, %d ms would have been in time; the work ahead was summed %d ms before",
		stamp(l), l.Reason, l.Node, l.Epoch, l.WaitMs, l.SlackMs, l.AgeMs)
}

func predictionText(l logLine) string {
	if l.PredictedMs == 0 {
		return ""
	}
	return fmt.Sprintf("; predicted %d ms from acceptance to end, took %d ms", l.PredictedMs, l.ActualMs)
}

func orNone(account string) string {
	if account == "" {
		return "(none)"
	}
	return account
}

func stamp(l logLine) string { return l.Time.UTC().Format("15:04:05.000") }
