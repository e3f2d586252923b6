package host

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

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
)

// peerTLSConfig returns the TLS configuration of the peer links, with a
// certificate for this process from the deployment's CA. It retries until the
// CA is available or ctx ends.
func peerTLSConfig(ctx context.Context, store *platform.Client, log *slog.Logger, deployment, node string) (*tls.Config, error) {
	for {
		ca, err := loadOrCreateCA(ctx, store, deployment)
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

// loadOrCreateCA returns the deployment's CA from the store, and creates it if
// there is none. If several nodes start at once, the first append wins and the
// others load its CA on their next attempt.
func loadOrCreateCA(ctx context.Context, store *platform.Client, deployment string) (*certs.Authority, error) {
	page, err := store.Newest(ctx, topicPeerCA)
	if err != nil {
		return nil, err
	}
	if len(page.Records) > 0 {
		byKey := map[string][]byte{}
		for _, r := range page.Records {
			byKey[r.Key] = r.Value
		}
		return certs.ParseAuthority(byKey[keyCACert], byKey[keyCAKey])
	}
	ca, cert, key, err := certs.NewAuthority(deployment)
	if err != nil {
		return nil, err
	}
	_, err = store.Append(ctx, topicPeerCA, page.Next, platform.Writer{}, []platform.Record{
		{Key: keyCACert, Value: cert}, {Key: keyCAKey, Value: key}})
	return ca, err
}
