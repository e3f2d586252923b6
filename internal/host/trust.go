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
	// topicTrust holds the CA of the links between nodes. Whoever can read the
	// store can join; the store's own access rule is the root of trust.
	topicTrust = "keyed.trust"
	keyCACert  = "ca"
	keyCAKey   = "ca-key"
	trustRetry = 200 * time.Millisecond
)

// linkTLS returns the configuration for links to peers: a certificate of this
// process under the deployment's CA, which the first node to start has made.
func linkTLS(ctx context.Context, store *platform.Client, log *slog.Logger, deployment, node string) (*tls.Config, error) {
	for {
		ca, err := sharedCA(ctx, store, deployment)
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
		log.Warn("no CA for the links between nodes yet", operator.Err(err))
		pause.For(ctx, trustRetry)
	}
}

// sharedCA returns the deployment's CA, and makes it if the store has none. Of
// several nodes that start at once the first to append makes it.
func sharedCA(ctx context.Context, store *platform.Client, deployment string) (*certs.Authority, error) {
	page, err := store.Newest(ctx, topicTrust)
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
	_, err = store.Append(ctx, topicTrust, page.Next, platform.Writer{}, []platform.Record{
		{Key: keyCACert, Value: cert}, {Key: keyCAKey, Value: key}})
	return ca, err
}
