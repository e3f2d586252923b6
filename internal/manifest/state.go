package manifest

import (
	"cyclamenwheel/internal/fold"
)

// Reasons for rejecting a published manifest.
const (
	// ReasonConflict marks a manifest based on a generation that is no longer
	// in force: another operator came first.
	ReasonConflict fold.Reason = "conflict"
	// ReasonWrongDeployment marks a manifest of another deployment.
	ReasonWrongDeployment fold.Reason = "wrong_deployment"
	// ReasonInvalid marks a manifest that does not pass validation.
	ReasonInvalid fold.Reason = "invalid_manifest"
)

// Publish asks for a manifest to come into force.
type Publish struct {
	// BasedOn is the generation that the operator saw in force; 0 for the
	// first manifest.
	BasedOn uint64 `cbor:"1,keyasint"`
	// Raw is the manifest as JSON.
	Raw []byte `cbor:"2,keyasint"`
	// Operator names who published, for those who lose a race.
	Operator string `cbor:"3,keyasint"`
}

// State is the manifest in force.
type State struct {
	// Generation counts accepted manifests; it never goes back.
	Generation uint64 `cbor:"1,keyasint" json:"generation"`
	Raw        []byte `cbor:"2,keyasint" json:"-"`
	Operator   string `cbor:"3,keyasint" json:"operator"`
	// Offset and TimeMillis tell where and when it was accepted.
	Offset     uint64 `cbor:"4,keyasint" json:"offset"`
	TimeMillis int64  `cbor:"5,keyasint" json:"time_ms"`

	parsed *Manifest
	// budgets is derived from parsed: the strictest budget of each pool.
	budgets map[string]int
}

// ApplyPublish folds a published manifest. The first valid one in log order
// that is based on the generation in force wins; the others are told by whom.
func (s *State) ApplyPublish(m fold.Meta, p Publish) fold.Verdict {
	if p.BasedOn != s.Generation {
		return fold.Reject(ReasonConflict, "in force: published by "+s.Operator)
	}
	parsed, err := Parse(p.Raw)
	if err != nil {
		return fold.Reject(ReasonInvalid, err.Error())
	}
	if err := parsed.Validate(); err != nil {
		return fold.Reject(ReasonInvalid, err.Error())
	}
	if cur := s.Current(); cur != nil && cur.Deployment != parsed.Deployment {
		return fold.Reject(ReasonWrongDeployment, "this log is of "+cur.Deployment)
	}
	*s = State{
		Generation: s.Generation + 1, Raw: p.Raw, Operator: p.Operator,
		Offset: m.Offset, TimeMillis: m.TimeMillis, parsed: parsed,
	}
	return fold.Accept()
}

// Current returns the manifest in force, nil before the first. It must not be
// modified.
func (s *State) Current() *Manifest {
	if s.parsed == nil && len(s.Raw) > 0 {
		// Only accepted manifests are kept in Raw, so it parses.
		s.parsed, _ = Parse(s.Raw)
	}
	return s.parsed
}

// MinAvailable is the strictest availability budget among the pool's services.
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
	cur := s.Current()
	if s.budgets != nil || cur == nil {
		return
	}
	s.budgets = make(map[string]int, len(cur.Pools))
	for _, p := range cur.Pools {
		s.budgets[p.Name] = 0
	}
	for _, svc := range cur.Services {
		s.budgets[svc.Pool] = max(s.budgets[svc.Pool], svc.MinAvailable)
	}
}
