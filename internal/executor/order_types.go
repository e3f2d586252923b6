package executor

import (
	"time"

	"cyclamenwheel/internal/inflight"
)

// OrderKind is the kind of an order.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
)

// Order is an order to an endpoint. The caller adds the lease.
type Order struct {
	Kind     OrderKind
	Endpoint string
	Addr     string
	// Fence is the fencing token, which the endpoint compares with the highest it has seen.
	Fence      int64
	Task       string
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	task       *task
	// sent is when a start was sent or a stop was issued.
	sent time.Duration
	// slot is what a start order that was sent occupies of the limit on starts in flight.
	slot *inflight.Slot
}

// Reply identifies a call of Submit or Cancel, by its token, that is to be answered.
type Reply struct{ Token uint64 }

// OrderResult is the outcome of an order.
type OrderResult uint8

// Results of orders.
const (
	OrderDone OrderResult = iota
	// OrderUnanswered: no answer came; the order may have been carried out, or may still be.
	OrderUnanswered
	// OrderFenced: the endpoint has seen a newer epoch.
	OrderFenced
	// OrderStaleRun: the run has ended or was stopped on the endpoint.
	OrderStaleRun
	// OrderLeaseExpired: the lease had expired when the order arrived.
	OrderLeaseExpired
	// OrderNoCapacity: the endpoint, which checks its capacity, is full.
	OrderNoCapacity
	// OrderNoTicket: the endpoint requires a valid ticket.
	OrderNoTicket
	// OrderOtherIncarnation: another incarnation answers at the address.
	OrderOtherIncarnation
	// OrderUnhealthy: the endpoint accepts no orders at present.
	OrderUnhealthy
	// OrderInvalid: the endpoint can't decode the order.
	OrderInvalid
)

var orderResultNames = [...]string{"done", "unanswered", "fenced", "old", "late", "no room", "no ticket", "gone", "unhealthy", "invalid"}

func (r OrderResult) String() string { return orderResultNames[r] }
