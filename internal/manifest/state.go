package manifest

import (
	"cyclamenwheel/internal/fold"
)

// Reasons for rejecting a published manifest.
const (
	// ReasonConflict rejects a manifest based on a generation that is no longer
	// in force, because another one was published in the meantime.
	ReasonConflict fold.Reason = "conflict"
	// ReasonWrongDeployment rejects a manifest of another deployment.
	ReasonWrongDeployment fold.Reason = "wrong_deployment"
	// ReasonInvalid rejects a manifest that fails to parse or validate.
	ReasonInvalid fold.Reason = "invalid_manifest"
)

// Publish is the log record that proposes a new manifest.
type Publish struct {
	// BasedOn is the generation that the new manifest replaces; 0 for the first
	// manifest.
	BasedOn uint64 `cbor:"1,keyasint"`
	// Raw is the manifest as JSON.
	Raw []byte `cbor:"2,keyasint"`
	// Operator is the name of the publisher, reported to operators whose
	// concurrent publication is rejected.
	Operator string `cbor:"3,keyasint"`
}

// State is the replicated state of the manifest in force.
type State struct {
	// Generation is the number of accepted manifests; it never decreases.
	Generation uint64 `cbor:"1,keyasint" json:"generation"`
	Raw        []byte `cbor:"2,keyasint" json:"-"`
	Operator   string `cbor:"3,keyasint" json:"operator"`
	// Offset and TimeMillis are the log offset and append time of the accepted
	// record.
	Offset     uint64 `cbor:"4,keyasint" json:"offset"`
	TimeMillis int64  `cbor:"5,keyasint" json:"time_ms"`

	parsed *Manifest
	// budgets caches the strictest availability budget of each pool, derived from
	// parsed.
	budgets map[string]int
}

// ApplyPublish applies a published manifest to the state. Of several manifests
// based on the generation in force, the first valid one in log order is accepted.
// The others are rejected with the name of its publisher.
func (s *State) ApplyPublish(m fold.Meta, p Publish) fold.Verdict {
	if p.BasedOn != s.Generation {
		return fold.Reject(ReasonConflict, "another manifest is in force, published by "+s.Operator)
	}
	parsed, err := Parse(p.Raw)
	if err != nil {
		return fold.Reject(ReasonInvalid, err.Error())
	}
	if err := parsed.Validate(); err != nil {
		return fold.Reject(ReasonInvalid, err.Error())
	}
	if current := s.Current(); current != nil && current.Deployment != parsed.Deployment {
		return fold.Reject(ReasonWrongDeployment, "this log belongs to deployment "+current.Deployment)
	}
	*s = State{
		Generation: s.Generation + 1, Raw: p.Raw, Operator: p.Operator,
		Offset: m.Offset, TimeMillis: m.TimeMillis, parsed: parsed,
	}
	return fold.Accept()
}

// Current returns the manifest in force, or nil before the first. The caller must
// not modify it.
func (s *State) Current() *Manifest {
	if s.parsed == nil && len(s.Raw) > 0 {
		// Raw only holds accepted manifests, so parsing cannot fail.
		s.parsed, _ = Parse(s.Raw)
	}
	return s.parsed
}

// MinAvailable returns the strictest availability budget of the pool's services.
func (s *State) MinAvailable(pool string) int {
	s.deriveBudgets()
	return s.budgets[pool]
}

// HasPool reports whether the manifest in force has the pool.
func (s *State) HasPool(pool string) bool {
	s.deriveBudgets()
	_, ok := s.budgets[pool]
	return ok
}

func (s *State) deriveBudgets() {
	current := s.Current()
	if s.budgets != nil || current == nil {
		return
	}
	s.budgets = make(map[string]int, len(current.Pools))
	for _, p := range current.Pools {
		s.budgets[p.Name] = 0
	}
	for _, svc := range current.Services {
		s.budgets[svc.Pool] = max(s.budgets[svc.Pool], svc.MinAvailable)
	}
}
