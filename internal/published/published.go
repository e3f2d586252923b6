// Package published holds the operators' configuration in force in one process and decides
// when to ask peers for a newer one. Its input is configurations decoded from the store's
// topic and, where the store does not answer this process, from peers. internal/host
// passes it the configurations, and ingress serves requests by the one in force.
//
// A peer's configuration is trusted as much as the store's: peers prove by certificate
// that they are nodes of the deployment, each decodes the store's topic itself, and a
// version is never replaced by an older one.
package published

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenwheel/internal/peer"
	"cyclamenwheel/internal/planlease"
	"cyclamenwheel/internal/routing"
)

const (
	kindNewer   = "config.newer"
	kindEarlier = "config.earlier"
	// askPeersAfter is how long ago the store may last have confirmed the configuration
	// before peers are asked. It is above the time between two answers of a healthy store.
	askPeersAfter = 1300 * time.Millisecond
	// askPeersLater replaces askPeersAfter while a peer tells regularly which configuration it
	// has: it does so about once a second, and its own word is up to a second old.
	askPeersLater = 2300 * time.Millisecond
	// longestPoll is how late a peer may notice that its own read of the store has stalled.
	longestPoll = 900 * time.Millisecond
	// digestMaxAge is how long ago a peer's last word counts as regular.
	digestMaxAge = 1600 * time.Millisecond
	// askInterval spaces requests to peers, also those for an unknown key: a flood of
	// unknown keys costs no more.
	askInterval = 400 * time.Millisecond
	// askTimeout bounds one request: a peer that does not answer may be cut off as well.
	askTimeout = 300 * time.Millisecond
	// maxEarlierTries is how many peers are asked for the routes of earlier versions until one answers.
	maxEarlierTries = 8
)

// Options configure a Keeper.
type Options struct {
	// Peers returns the names of the peers to ask.
	Peers func() []string
	// Ask sends a request to one of them.
	Ask func(ctx context.Context, peer string, have int64) (Answer, error)
	// AskEarlier asks one of them for the routes of earlier versions; nil if nobody is asked.
	AskEarlier func(ctx context.Context, peer string) ([]PastTable, error)
	// Changed is called with each configuration that takes effect.
	Changed func(*routing.Config)
	// Strict makes a process that has had no confirmation of its configuration for Revoke
	// reject all keys, as they may have been removed. Otherwise it keeps using the last
	// ones.
	Strict bool
	Revoke time.Duration
	Logger *slog.Logger
}

// Keeper holds the configuration in force. It is safe for concurrent use.
type Keeper struct {
	opts   Options
	config atomic.Pointer[routing.Config]
	// putMu serializes changes of the configuration, so that Changed is called in order of
	// versions.
	putMu sync.Mutex
	// confirmedAt is when config was last known to be the newest, lastAsked when a peer
	// was last asked on a caller's behalf; both on a clock that keeps running during
	// suspension.
	confirmedAt, lastAsked atomic.Int64
	// digestAt is when a peer last confirmed the configuration.
	digestAt atomic.Int64
	nextPeer atomic.Int64
	earlier  earlierRoutes
	// newer receives the peer that has a newer configuration.
	newer chan string
}

// New returns a keeper without a configuration.
func New(opts Options) *Keeper { return &Keeper{opts: opts, newer: make(chan string, 1)} }

// Config returns the configuration in force, nil before the first.
func (k *Keeper) Config() *routing.Config { return k.config.Load() }

// Put puts a configuration in force and reports true, unless one at least as new is in
// force: the store may answer a delayed read with an old state.
func (k *Keeper) Put(c *routing.Config) bool {
	k.putMu.Lock()
	defer k.putMu.Unlock()
	if have := k.config.Load(); have != nil && have.Version >= c.Version {
		return false
	}
	if have := k.config.Load(); have != nil {
		k.earlier.add(tableOf(have, planlease.Boottime()), c) // before a request is led by c
	}
	k.config.Store(c)
	k.opts.Changed(c)
	return true
}

// Confirm records that the store had nothing newer at the time at.
func (k *Keeper) Confirm(at time.Duration) {
	for {
		have := k.confirmedAt.Load()
		if have >= int64(at) || k.confirmedAt.CompareAndSwap(have, int64(at)) {
			return
		}
	}
}

// Age returns how long ago the configuration was last known to be the newest.
func (k *Keeper) Age() time.Duration {
	return planlease.Boottime() - time.Duration(k.confirmedAt.Load())
}

// KeysTrusted reports whether callers' keys may be accepted.
func (k *Keeper) KeysTrusted() bool { return !k.opts.Strict || k.Age() < k.opts.Revoke }

// Follow asks peers while the store does not answer, and those that have a newer configuration,
// until ctx ends.
func (k *Keeper) Follow(ctx context.Context) {
	tick := time.NewTicker(askInterval)
	defer tick.Stop()
	earlierTries := maxEarlierTries
	if k.opts.AskEarlier == nil {
		earlierTries = 0
	}
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-k.newer:
			k.ask(ctx, name)
		case <-tick.C:
			if k.Age() > k.maxAge() {
				k.askPeer(ctx)
			}
			if earlierTries > 0 && k.Config() != nil {
				earlierTries--
				if k.askEarlier(ctx) {
					earlierTries = 0
				}
			}
		}
	}
}

// maxAge is how long ago the configuration may last have been confirmed before peers are asked.
func (k *Keeper) maxAge() time.Duration {
	if k.ConfirmedByPeers() {
		return askPeersLater
	}
	return askPeersAfter
}

// ConfirmedByPeers reports whether a peer has recently confirmed the configuration.
func (k *Keeper) ConfirmedByPeers() bool {
	at := k.digestAt.Load()
	return at > 0 && planlease.Boottime()-time.Duration(at) < digestMaxAge
}

// Digest identifies a configuration.
type Digest struct {
	// Version is its version, 0 for none, and AgeMs how long ago it was known to be the
	// newest.
	Version int64 `cbor:"1,keyasint"`
	AgeMs   int64 `cbor:"2,keyasint"`
}

// Digest identifies the configuration in force.
func (k *Keeper) Digest() Digest {
	c := k.Config()
	if c == nil {
		return Digest{}
	}
	return Digest{Version: c.Version, AgeMs: k.Age().Milliseconds()}
}

// ObserveDigest takes a peer's word, asked for at the given time, of the configuration that it has:
// it confirms the one in force here, or has Follow ask the peer for the newer one.
func (k *Keeper) ObserveDigest(peer string, asked time.Duration, d Digest) {
	c := k.Config()
	switch {
	case d.Version == 0 || c != nil && c.Version > d.Version:
	case c == nil || c.Version < d.Version:
		select {
		case k.newer <- peer:
		default: // a peer is about to be asked
		}
	default:
		age := time.Duration(d.AgeMs) * time.Millisecond
		k.Confirm(asked - age)
		if age < askPeersAfter+longestPoll {
			k.digestAt.Store(int64(asked))
		}
	}
}

// Newer returns the configuration in force, after asking a peer if that is not newer than
// version and the store has not confirmed it recently.
func (k *Keeper) Newer(ctx context.Context, version int64) *routing.Config {
	if c := k.Config(); c != nil && c.Version > version {
		return c
	}
	if k.Age() > k.maxAge() && k.reserveAsk() {
		k.askPeer(ctx)
	}
	return k.Config()
}

// reserveAsk reports whether the caller may ask a peer now, at most once per askInterval.
func (k *Keeper) reserveAsk() bool {
	now, last := int64(planlease.Boottime()), k.lastAsked.Load()
	return now-last > int64(askInterval) && k.lastAsked.CompareAndSwap(last, now)
}

// askPeer asks one peer, in round-robin order.
func (k *Keeper) askPeer(ctx context.Context) {
	peers := k.opts.Peers()
	if len(peers) == 0 {
		return
	}
	k.ask(ctx, peers[int(k.nextPeer.Add(1))%len(peers)])
}

func (k *Keeper) ask(ctx context.Context, name string) {
	have := int64(0)
	if c := k.Config(); c != nil {
		have = c.Version
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// Question asks a peer for a configuration newer than version Have.
type Question struct {
	Have int64 `cbor:"1,keyasint"`
}

// Answer describes the configuration in force at a peer.
type Answer struct {
	Digest
	// Config is the configuration itself if it is newer than the requester's.
	Config *routing.Config `cbor:"3,keyasint,omitempty"`
}

func (k *Keeper) answer(q Question) Answer {
	c := k.Config()
	if c == nil {
		return Answer{}
	}
	a := Answer{Digest: k.Digest()}
	if c.Version > q.Have {
		a.Config = c
	}
	return a
}

// Register makes this process answer requests from its peers.
func (k *Keeper) Register(n *peer.Node) {
	peer.Handle(n, kindNewer, func(_ context.Context, _ peer.Identity, q Question) (Answer, error) {
		return k.answer(q), nil
	}, peer.MaxBytes(peer.MaxTransfer))
	peer.Handle(n, kindEarlier, func(context.Context, peer.Identity, earlierQuestion) (earlierAnswer, error) {
		return earlierAnswer{Past: k.pastTables()}, nil
	}, peer.MaxBytes(peer.MaxTransfer))
}

// earlierQuestion asks a peer for the routes of earlier versions.
type earlierQuestion struct{}

// earlierAnswer has the routes of earlier versions that the peer knows.
type earlierAnswer struct {
	Past []PastTable `cbor:"1,keyasint,omitempty"`
}

// AskPeerEarlier asks a peer for the routes of earlier versions that it knows.
func AskPeerEarlier(ctx context.Context, peers *peer.Node, name string) ([]PastTable, error) {
	out, err := peer.Call[earlierQuestion, earlierAnswer](ctx, peers, name, kindEarlier, earlierQuestion{}, peer.MaxBytes(peer.MaxTransfer))
	return out.Past, err
}

// AskPeer asks a peer for a configuration newer than have.
func AskPeer(ctx context.Context, peers *peer.Node, name string, have int64) (Answer, error) {
	return peer.Call[Question, Answer](ctx, peers, name, kindNewer, Question{Have: have}, peer.MaxBytes(peer.MaxTransfer))
}
