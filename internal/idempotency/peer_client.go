package idempotency

import (
	"context"

	"cyclamenwheel/internal/peer"
)

// Kinds of messages between entries.
const (
	kindClaim   = "idem.claim"
	kindFinish  = "idem.finish"
	kindWitness = "idem.witness"
)

// answerLimit bounds a message that carries an answer. MaxAnswerBytes includes an
// overhead for each header, so this leaves room for the encoding.
const answerLimit = MaxAnswerBytes + 16<<10

type claimReply struct {
	Decision Decision `cbor:"1,keyasint"`
	Answer   *Answer  `cbor:"2,keyasint,omitempty"`
}

type finishRequest struct {
	Report FinishReport `cbor:"1,keyasint"`
}

type holdRequest struct {
	Claims []ClaimRecord `cbor:"1,keyasint"`
}

type emptyReply struct{}

// entryClient calls other entries.
type entryClient interface {
	claim(ctx context.Context, to string, c Claim) (claimReply, error)
	finish(ctx context.Context, to string, f FinishReport) error
	hold(ctx context.Context, to string, claims []ClaimRecord) error
}

// peerClient implements entryClient over a peer node.
type peerClient struct{ node *peer.Node }

func (p peerClient) claim(ctx context.Context, to string, c Claim) (claimReply, error) {
	return peer.Call[Claim, claimReply](ctx, p.node, to, kindClaim, c, peer.MaxBytes(answerLimit))
}

func (p peerClient) finish(ctx context.Context, to string, f FinishReport) error {
	_, err := peer.Call[finishRequest, emptyReply](ctx, p.node, to, kindFinish, finishRequest{Report: f}, peer.MaxBytes(answerLimit))
	return err
}

func (p peerClient) hold(ctx context.Context, to string, claims []ClaimRecord) error {
	_, err := peer.Call[holdRequest, emptyReply](ctx, p.node, to, kindWitness, holdRequest{Claims: claims})
	return err
}

// register registers the handlers for calls of other entries.
func (s *Service) register(n *peer.Node) {
	peer.Handle(n, kindClaim, func(ctx context.Context, from peer.Identity, c Claim) (claimReply, error) {
		return s.serveClaim(ctx, memberOf(from), c)
	}, peer.MaxBytes(answerLimit))
	peer.Handle(n, kindFinish, func(_ context.Context, _ peer.Identity, r finishRequest) (emptyReply, error) {
		return emptyReply{}, s.serveFinish(r.Report)
	}, peer.MaxBytes(answerLimit))
	peer.Handle(n, kindWitness, func(_ context.Context, from peer.Identity, r holdRequest) (emptyReply, error) {
		return emptyReply{}, s.serveHold(memberOf(from), r.Claims)
	})
}

func memberOf(id peer.Identity) Member {
	return Member{ID: id.ID, BootID: id.BootID, Zone: id.Zone}
}
