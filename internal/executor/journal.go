package executor

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"cyclamenwheel/internal/jobs"
	"cyclamenwheel/internal/routing"
)

// Key prefixes of a pool's records. A job has one record that is written when it is accepted,
// cancelled and ended, and a progress record that is written with each change of its tasks and
// removed when the job has ended.
const (
	keyJob      = "j"
	keyProgress = "p"
)

// Record is a record of the pool's journal; an empty value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// jobRecord is the stored part of a job. Once the job has ended, Job holds its ID only.
type jobRecord struct {
	Job        jobs.Job      `cbor:"1,keyasint"`
	Queue      string        `cbor:"2,keyasint"`
	Terms      routing.Terms `cbor:"3,keyasint"`
	AcceptedMs int64         `cbor:"4,keyasint"`
	// OfferedMs is when the caller first submitted the job, by the owner's wall clock.
	OfferedMs int64    `cbor:"7,keyasint,omitempty"`
	State     JobState `cbor:"5,keyasint,omitempty"`
	EndedMs   int64    `cbor:"6,keyasint,omitempty"`
	// Reason is why the job has failed, for operators.
	Reason string `cbor:"8,keyasint,omitempty"`
	// Account is the client account that the job belongs to, "" for none.
	Account string `cbor:"9,keyasint,omitempty"`
}

// progressRecord is the stored part of those tasks of a job that have been started.
type progressRecord struct {
	// FirstOpen is the lowest occurrence that has not ended.
	FirstOpen int          `cbor:"1,keyasint,omitempty"`
	Tasks     []taskRecord `cbor:"2,keyasint,omitempty"`
	// Gangs counts the failed runs of gangs, by gangKey.
	Gangs map[string]int `cbor:"3,keyasint,omitempty"`
	// RunConfirmed reports that an endpoint has confirmed a run of some task.
	RunConfirmed bool `cbor:"5,keyasint,omitempty"`
	// Ended lists the occurrences above FirstOpen that have ended.
	Ended []int `cbor:"4,keyasint,omitempty"`
	// Started is when the incarnations that Tasks are placed on were started, by endpoint, in
	// ms since 1970; absent where not reported.
	Started map[string]int64 `cbor:"6,keyasint,omitempty"`
	// Crashes is the evidence that tasks crash their endpoints, by taskKey.
	Crashes map[string]evidence `cbor:"7,keyasint,omitempty"`
	// GangRuns are the numbers of the failed runs that Gangs counts.
	GangRuns map[string][]int `cbor:"8,keyasint,omitempty"`
}

// taskRecord is encoded as an array to keep it short: a journal holds many of them.
type taskRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Phase      phase
	Run        int
	Failures   int
	Endpoint   string
	Checkpoint string
}

// MalformedRecordError reports a journal record that can't be decoded. Continuing without the
// record could run a task twice, so the takeover of the pool fails.
type MalformedRecordError struct {
	Key   string
	Cause error
}

func (e *MalformedRecordError) Error() string { return "record " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the decoder's error.
func (e *MalformedRecordError) Unwrap() error { return e.Cause }

// Encode returns the encoded value of a record. It panics only on types that can't be encoded,
// which tests detect.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func (j *job) progress() progressRecord {
	p := progressRecord{FirstOpen: j.firstOpen, RunConfirmed: j.runConfirmed}
	for _, o := range j.current {
		if o.unfinishedSteps == 0 {
			p.Ended = append(p.Ended, o.number)
			continue
		}
		for _, s := range o.steps {
			if s.failures > 0 {
				if p.Gangs == nil {
					p.Gangs, p.GangRuns = map[string]int{}, map[string][]int{}
				}
				p.Gangs[gangKey(o.number, s.index)], p.GangRuns[gangKey(o.number, s.index)] = s.failures, s.failedRuns
			}
			for _, t := range s.tasks {
				if t.run == 0 && t.phase == taskWaiting {
					continue
				}
				r := taskRecord{Occurrence: o.number, Step: s.index, Index: t.index, Phase: t.phase,
					Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint}
				if t.endpoint != nil {
					r.Endpoint = t.endpoint.id
					p.recordStartTime(t.endpoint)
				}
				p.Tasks = append(p.Tasks, r)
				p.recordEvidence(t)
			}
		}
	}
	return p
}

func (p *progressRecord) recordStartTime(e *endpoint) {
	if e.startedMs == 0 {
		return
	}
	if p.Started == nil {
		p.Started = map[string]int64{}
	}
	p.Started[e.id] = e.startedMs
}

// recordEvidence includes evidence that is not yet certain, as the next owner could not resolve
// it.
func (p *progressRecord) recordEvidence(t *task) {
	total := t.evidence
	if t.possibleCrash != nil {
		total = total.add(t.possibleCrash.evidence)
	}
	if total.Crashes == 0 {
		return
	}
	if p.Crashes == nil {
		p.Crashes = map[string]evidence{}
	}
	p.Crashes[taskKey(t.step.occ.number, t.step.index, t.index)] = total
}

// taskKey identifies a task within its job's record.
func taskKey(occurrence, step, index int) string {
	return jobs.TaskName{Occurrence: occurrence, Step: step, Index: index}.String()
}

func gangKey(occurrence, step int) string { return taskKey(occurrence, step, 0) }

func (c *Core) markDirty(j *job) {
	c.outstanding.valid = c.outstanding.valid && c.limits.OverloadControl
	if !c.dirty[j] {
		c.dirty[j] = true
		c.dirtyOrder = append(c.dirtyOrder, j)
	}
}

// Ready is a batch of records and the actions that may follow once they are durable.
type Ready struct {
	Records      []Record
	Replies      []Reply
	starts       []Order
	acks         map[Incarnation]int64
	stateChanges []jobStateChange
	// createdAt is when the batch was created.
	createdAt time.Duration
}

type jobStateChange struct {
	job   *job
	state JobState
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.Records) == 0 && len(r.starts) == 0 && len(r.Replies) == 0 && len(r.acks) == 0
}

// Ready returns the changes since the last call.
func (c *Core) Ready(now time.Duration) Ready {
	r := Ready{starts: c.decidedStarts, Replies: c.replies, acks: c.acks, createdAt: now}
	c.startsNotDurable += len(c.decidedStarts)
	c.decidedStarts, c.replies, c.acks = nil, nil, map[Incarnation]int64{}
	for _, j := range c.dirtyOrder {
		r.Records = append(r.Records, j.records()...)
		r.stateChanges = append(r.stateChanges, jobStateChange{j, j.rec.State})
		delete(c.dirty, j)
	}
	c.dirtyOrder = c.dirtyOrder[:0]
	for _, key := range c.removedKeys {
		r.Records = append(r.Records, Record{Key: key})
	}
	c.removedKeys = nil
	r.Records = append(r.Records, c.endpointRecords()...)
	if len(r.Records) > 0 {
		r.Records = append(r.Records, c.lengthRecords()...)
	}
	return r
}

// records returns the records to write for a changed job. The job itself is written only when
// it is new or has ended.
func (j *job) records() []Record {
	var out []Record
	id := j.rec.Job.ID
	if !j.accepted || j.rec.State != j.durable && j.rec.State.Ended() {
		rec := j.rec
		if rec.State.Ended() && j.placedTasks == 0 {
			rec.Job = jobs.Job{ID: id}
		}
		out = append(out, Record{Key: keyJob + id, Value: Encode(rec)})
	}
	if j.rec.State.Ended() && j.placedTasks == 0 {
		return append(out, Record{Key: keyProgress + id})
	}
	if j.startDecided || j.placedTasks > 0 {
		out = append(out, Record{Key: keyProgress + id, Value: Encode(j.progress())})
	}
	return out
}

// Advance marks the records of r as durable and lets the actions that waited for them proceed.
func (c *Core) Advance(now time.Duration, r Ready) {
	c.startQueue = append(c.startQueue, r.starts...)
	c.startsNotDurable -= len(r.starts)
	if len(r.Records) > 0 {
		c.storeDelay += (now - r.createdAt - c.storeDelay) / storeDelaySmoothing
	}
	for _, s := range r.stateChanges {
		s.job.accepted = true
		s.job.durable = max(s.job.durable, s.state)
	}
	for to, n := range r.acks {
		if e := c.endpoints[to.ID]; e != nil && e.incarnation() == to {
			e.acknowledgedEnd = max(e.acknowledgedEnd, n)
		}
	}
}

// Restore rebuilds the state from the newest records of the journal.
func (c *Core) Restore(records []Record, now time.Duration) error {
	progress := map[string]progressRecord{}
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		switch r.Key[:1] {
		case keyJob:
			j := &job{firstSeen: now, accepted: true}
			if err := cbor.Unmarshal(r.Value, &j.rec); err != nil {
				return &MalformedRecordError{Key: r.Key, Cause: err}
			}
			j.durable = j.rec.State
			c.jobs[j.rec.Job.ID] = j
		case keyProgress:
			var p progressRecord
			if err := cbor.Unmarshal(r.Value, &p); err != nil {
				return &MalformedRecordError{Key: r.Key, Cause: err}
			}
			progress[r.Key[1:]] = p
		case keyLengths:
			c.restoreLengths(r)
		case keyEndpoint:
			if err := c.restoreEndpoint(r, now); err != nil {
				return err
			}
		case keyHandover:
			if err := c.restoreHandover(r); err != nil {
				return err
			}
		}
	}
	for id, j := range c.jobs {
		c.restoreJob(j, progress[id], now)
	}
	for _, e := range c.endpoints {
		c.markRestoredUnconfirmed(now, e)
	}
	c.sortOpen()
	c.event(Event{Kind: EventRestored, Reason: "takeover", Run: len(c.jobs)})
	return nil
}

func (c *Core) restoreJob(j *job, p progressRecord, now time.Duration) {
	if j.rec.State.Ended() && len(p.Tasks) == 0 {
		j.rec.Job = jobs.Job{ID: j.rec.Job.ID}
		c.chargeJob(j)
		c.ended = append(c.ended, j)
		return
	}
	j.inOpen = true
	j.measureMemory()
	c.chargeJob(j)
	j.offeredAt = now - c.timeSinceSubmission(j)
	j.firstOpen, j.nextOccurrence, j.runConfirmed = p.FirstOpen, p.FirstOpen, p.RunConfirmed
	highest := p.FirstOpen - 1
	for _, n := range p.Ended {
		highest = max(highest, n)
	}
	for _, t := range p.Tasks {
		highest = max(highest, t.Occurrence)
	}
	// A job that does not recur begins when it is accepted, whether or not any of its tasks
	// has left a record.
	if j.rec.Job.Occurrences == 0 {
		highest = max(highest, 0)
	}
	for j.nextOccurrence <= highest {
		c.expandNextOccurrence(j)
	}
	for _, n := range p.Ended {
		c.closeOccurrence(j, n)
	}
	for _, r := range p.Tasks {
		c.restoreTask(j, r, p)
	}
	for id, startedMs := range p.Started {
		c.restoreIncarnationStart(c.endpoint(id), startedMs)
	}
	for _, o := range j.current {
		for _, s := range o.steps {
			s.failures, s.failedRuns = p.Gangs[gangKey(o.number, s.index)], p.GangRuns[gangKey(o.number, s.index)]
			c.recountTasks(s)
		}
	}
	c.setObjective(j)
	c.open = append(c.open, j)
}

// maxRestoredWait bounds how long a restored job counts as having waited, as the wall clock may
// have jumped in between.
const maxRestoredWait = 30 * time.Second

// timeSinceSubmission returns how long ago a restored job was submitted. Counted from the takeover
// instead, every job would seem on time again: jobs that are already late would precede jobs that
// can still be on time, and after the loss of all processes every job would be late.
func (c *Core) timeSinceSubmission(j *job) time.Duration {
	ago := time.Duration(c.wallMs-j.rec.OfferedMs) * time.Millisecond
	if j.rec.OfferedMs == 0 || j.rec.Job.Occurrences > 0 {
		return 0
	}
	return min(max(0, ago), maxRestoredWait)
}

func (c *Core) restoreTask(j *job, r taskRecord, p progressRecord) {
	t := j.task(r.Occurrence, r.Step, r.Index)
	if t == nil {
		return
	}
	j.startDecided = true
	t.run, t.failures, t.checkpoint = r.Run, r.Failures, r.Checkpoint
	t.evidence, t.targetStartedMs = p.Crashes[taskKey(r.Occurrence, r.Step, r.Index)], p.Started[r.Endpoint]
	c.markCautious(t)
	switch r.Phase {
	case taskDone:
		t.phase = taskDone
	case taskWaiting:
		t.givenUp = t.evidence.isPoison()
	case taskPlaced:
		e := c.endpoint(r.Endpoint)
		c.occupy(t, e)
		t.restored = true
		t.stopping = j.rec.State.Ended()
	}
}

// recountTasks derives a step's counters from its tasks.
func (c *Core) recountTasks(s *stepRun) {
	s.unfinished, s.waiting = 0, 0
	for _, t := range s.tasks {
		if t.phase != taskDone {
			s.unfinished++
		}
		if t.phase == taskWaiting {
			s.waiting++
		}
		s.gangDone = s.gangDone || s.spec.Gang && t.phase == taskDone
	}
	o := s.occ
	o.unfinishedSteps = 0
	for _, other := range o.steps {
		if other.unfinished > 0 {
			o.unfinishedSteps++
		}
	}
	for _, other := range o.steps {
		other.waitsFor = 0
		for _, a := range uniqueInts(other.spec.After) {
			if o.steps[a].unfinished > 0 {
				other.waitsFor++
			}
		}
	}
}

func (j *job) task(occurrence, step, index int) *task {
	for _, o := range j.current {
		if o.number != occurrence {
			continue
		}
		if step < len(o.steps) && index < len(o.steps[step].tasks) {
			return o.steps[step].tasks[index]
		}
	}
	return nil
}
