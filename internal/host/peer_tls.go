package host

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"cyclamenwheel/internal/certs"
	"cyclamenwheel/internal/operator"
	"cyclamenwheel/internal/pause"
	"cyclamenwheel/platform"
)

const (
	// topicPeerCA holds the CA of the links between nodes. Whoever can read the
	// store can join; the store's access rules are the root of trust.
	topicPeerCA  = "keyed.trust"
	keyCACert    = "ca"
	keyCAKey     = "ca-key"
	caRetryDelay = 200 * time.Millisecond
	// maxCADelay spreads the nodes that find no CA when all start together, so
	// that most of them find the one that another has created.
	maxCADelay = 250 * time.Millisecond
)

// peerTLSConfig returns the TLS configuration of the peer links, with a
// certificate for this process from the deployment's CA. It retries until the
// CA is available or ctx ends.
func peerTLSConfig(ctx context.Context, store *platform.Client, log *slog.Logger, deployment, node string) (*tls.Config, error) {
	first := true
	for {
		ca, err := loadCA(ctx, store)
		var noCA *noCAError
		if errors.As(err, &noCA) && first {
			first = false
			pause.For(ctx, rand.N(maxCADelay))
			continue
		}
		if noCA != nil {
			ca, err = createCA(ctx, store, deployment, noCA.End)
		}
		if err == nil {
			creds, err := ca.Issue(deployment, certs.RoleEntry, node)
			if err != nil {
				return nil, err
			}
			return creds.Config(certs.RoleEntry), nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		log.Warn("CA of the peer links not available yet; retrying", operator.Err(err))
		pause.For(ctx, caRetryDelay)
	}
}

// noCAError reports that the store has no CA yet. End is the end of its topic.
type noCAError struct{ End int64 }

func (*noCAError) Error() string { return topicPeerCA + ": no CA" }

// loadCA returns the deployment's CA from the store.
func loadCA(ctx context.Context, store *platform.Client) (*certs.Authority, error) {
	page, err := store.Newest(ctx, topicPeerCA)
	if err != nil {
		return nil, err
	}
	if len(page.Records) == 0 {
		return nil, &noCAError{End: page.Next}
	}
	byKey := map[string][]byte{}
	for _, r := range page.Records {
		byKey[r.Key] = r.Value
	}
	return certs.ParseAuthority(byKey[keyCACert], byKey[keyCAKey])
}

// createCA creates the deployment's CA if its topic still ends at end. If several nodes do so at once, the
// first append wins and the others load its CA on their next attempt.
func createCA(ctx context.Context, store *platform.Client, deployment string, end int64) (*certs.Authority, error) {
	ca, cert, key, err := certs.NewAuthority(deployment)
	if err != nil {
		return nil, err
	}
	_, err = store.Append(ctx, topicPeerCA, end, platform.Writer{}, []platform.Record{
		{Key: keyCACert, Value: cert}, {Key: keyCAKey, Value: key}})
	return ca, err
}
