package daemon

import (
	"context"

	"cyclamenwheel/internal/fleetlog"
	"cyclamenwheel/internal/idempotency"
	"cyclamenwheel/internal/membership"
	"cyclamenwheel/internal/settings"
)

// UnsupportedError says that requests with a key are not served yet.
type UnsupportedError struct{}

func (*UnsupportedError) Error() string { return "requests with a key are not served yet" }

type noClaims struct{}

func newClaims(*Daemon, settings.EntrySettings) noClaims { return noClaims{} }

func (noClaims) Begin(context.Context, idempotency.Claim) (idempotency.Decision, *idempotency.Answer, error) {
	return 0, nil, &UnsupportedError{}
}
func (noClaims) Finish(idempotency.Claim, idempotency.Outcome, *idempotency.Answer) {}
func (noClaims) OnApplied([]fleetlog.Applied)                                       {}
func (noClaims) OnMembers(uint64, []membership.Member)                              {}
func (noClaims) AckLimit(offset uint64) uint64                                      { return offset }
