// Package published keeps the operators' configuration in force in one process. It comes
// from the store; a process that the store turns away learns of newer versions from its
// peers.
//
// What a peer sends is taken for as good as the store's word: peers prove by certificate
// that they are nodes of the deployment, each has decoded what it sends from the store's
// topic itself, and a version is never followed by an older one.
package published

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenwheel/internal/pause"
	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/routing"
)

const (
	kindNewer = "config.newer"
	// unconfirmed is how old the store's word may be before peers are asked. It is above
	// what passes between two answers of a store that is well.
	unconfirmed = 1300 * time.Millisecond
	// askEvery spaces questions to peers, and to the store for a key that is not known: a
	// flood of unknown keys costs no more.
	askEvery = 400 * time.Millisecond
	// askLimit bounds one question: a peer that is silent may be cut off as well.
	askLimit = 300 * time.Millisecond
)

// Options of a Keeper.
type Options struct {
	// Peers returns the names of the peers that can be asked.
	Peers func() []string
	// Ask asks one of them.
	Ask func(ctx context.Context, peer string, have int64) (Answer, error)
	// Changed is told of each configuration that comes into force.
	Changed func(*routing.Config)
	// Strict: a process that has heard nothing of the configuration for Revoke trusts no
	// keys, as they may have been removed. Others go on with the last ones.
	Strict bool
	Revoke time.Duration
	Logger *slog.Logger
}

// Keeper keeps the configuration in force. It is safe for concurrent use.
type Keeper struct {
	opts   Options
	config atomic.Pointer[routing.Config]
	// putting is held while a configuration comes into force, so that Changed is told of
	// them in order.
	putting sync.Mutex
	// confirmed is when config was last known to be the newest, asked when that was last
	// asked; on a clock that counts suspension.
	confirmed, asked atomic.Int64
	next             atomic.Int64
}

// New returns a keeper without a configuration.
func New(opts Options) *Keeper { return &Keeper{opts: opts} }

// Config is the configuration in force, nil before the first.
func (k *Keeper) Config() *routing.Config { return k.config.Load() }

// Put puts a configuration in force unless one as new is: the store may answer a late
// read with an old state.
func (k *Keeper) Put(c *routing.Config) bool {
	k.putting.Lock()
	defer k.putting.Unlock()
	if have := k.config.Load(); have != nil && have.Version >= c.Version {
		return false
	}
	k.config.Store(c)
	k.opts.Changed(c)
	return true
}

// Confirm takes in that the store had nothing newer at the time at.
func (k *Keeper) Confirm(at time.Duration) {
	for {
		have := k.confirmed.Load()
		if have >= int64(at) || k.confirmed.CompareAndSwap(have, int64(at)) {
			return
		}
	}
}

// Age is how long ago the configuration was last known to be the newest.
func (k *Keeper) Age() time.Duration { return planlease.Boottime() - time.Duration(k.confirmed.Load()) }

// KeysTrusted reports whether callers' keys may be gone by.
func (k *Keeper) KeysTrusted() bool { return !k.opts.Strict || k.Age() < k.opts.Revoke }

// Follow asks peers while the store is silent, until ctx ends.
func (k *Keeper) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, askEvery)
		if k.Age() > unconfirmed {
			k.askPeer(ctx)
		}
	}
}

// Newer returns the newest configuration that can be had at once. While the store is
// well, that is the one in force.
func (k *Keeper) Newer(ctx context.Context, version int64) *routing.Config {
	if c := k.Config(); c != nil && c.Version > version {
		return c
	}
	if k.Age() > unconfirmed && k.mayAsk() {
		k.askPeer(ctx)
	}
	return k.Config()
}

// mayAsk takes the turn to ask, which comes once in askEvery.
func (k *Keeper) mayAsk() bool {
	now, last := int64(planlease.Boottime()), k.asked.Load()
	return now-last > int64(askEvery) && k.asked.CompareAndSwap(last, now)
}

// askPeer asks one peer, another one each time.
func (k *Keeper) askPeer(ctx context.Context) {
	peers := k.opts.Peers()
	if len(peers) == 0 {
		return
	}
	name := peers[int(k.next.Add(1))%len(peers)]
	have := int64(0)
	if c := k.Config(); c != nil {
		have = c.Version
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	asked := planlease.Boottime()
	got, err := k.opts.Ask(ctx, name, have)
	if err != nil {
		k.opts.Logger.Info("configuration not asked of peer", "peer", name, "error", err.Error())
		return
	}
	if got.Config != nil && k.Put(got.Config) {
		k.opts.Logger.Info("configuration taken from peer", "peer", name, "config_version", got.Config.Version, "age_ms", got.AgeMs)
	}
	if c := k.Config(); c != nil && got.Version == c.Version {
		k.Confirm(asked - time.Duration(got.AgeMs)*time.Millisecond)
	}
}

// Question asks a peer for a configuration newer than a version.
type Question struct {
	Have int64 `cbor:"1,keyasint"`
}

// Answer is what a peer has.
type Answer struct {
	// Version is that of the configuration in force at the peer, 0 for none, and AgeMs how
	// long ago it was known to be the newest.
	Version int64 `cbor:"1,keyasint"`
	AgeMs   int64 `cbor:"2,keyasint"`
	// Config is that configuration, where it is newer than what the asker has.
	Config *routing.Config `cbor:"3,keyasint,omitempty"`
}

func (k *Keeper) answer(q Question) Answer {
	c := k.Config()
	if c == nil {
		return Answer{}
	}
	a := Answer{Version: c.Version, AgeMs: k.Age().Milliseconds()}
	if c.Version > q.Have {
		a.Config = c
	}
	return a
}

// Register makes this process answer its peers.
func (k *Keeper) Register(n *peer.Node) {
	peer.Handle(n, kindNewer, func(_ context.Context, _ peer.Identity, q Question) (Answer, error) {
		return k.answer(q), nil
	}, peer.MaxBytes(peer.MaxTransfer))
}

// AskPeer asks a peer for a configuration newer than have.
func AskPeer(ctx context.Context, peers *peer.Node, name string, have int64) (Answer, error) {
	return peer.Call[Question, Answer](ctx, peers, name, kindNewer, Question{Have: have}, peer.MaxBytes(peer.MaxTransfer))
}
