package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
)

// Size is the number of instances that the selection requires.
func (s Selection) Size() int {
	if len(s.IDs) > 0 {
		return len(s.IDs)
	}
	return s.Count
}

// FindPool returns the pool with this name.
func (m *Manifest) FindPool(name string) (*Pool, bool) {
	for i := range m.Pools {
		if m.Pools[i].Name == name {
			return &m.Pools[i], true
		}
	}
	return nil, false
}

// FindService returns the service with this name.
func (m *Manifest) FindService(name string) (*Service, bool) {
	for i := range m.Services {
		if m.Services[i].Name == name {
			return &m.Services[i], true
		}
	}
	return nil, false
}

// ServicesOf returns the services whose requests the pool handles.
func (m *Manifest) ServicesOf(pool string) []*Service {
	var services []*Service
	for i := range m.Services {
		if m.Services[i].Pool == pool {
			services = append(services, &m.Services[i])
		}
	}
	return services
}

// MinAvailable returns the strictest availability budget of the pool's services; 0
// for a pool without services.
func (m *Manifest) MinAvailable(pool string) int {
	strictest := 0
	for _, s := range m.ServicesOf(pool) {
		strictest = max(strictest, s.MinAvailable)
	}
	return strictest
}

// ClassFor returns the first class whose methods and path prefix match. path is
// relative to the service's own path. If no class matches, the caller must not
// treat the request as idempotent.
func (s *Service) ClassFor(method, path string) (*Class, bool) {
	for i := range s.Classes {
		if s.Classes[i].matches(method, path) {
			return &s.Classes[i], true
		}
	}
	return nil, false
}

func (c *Class) matches(method, path string) bool {
	if len(c.Methods) > 0 && !slices.Contains(c.Methods, method) {
		return false
	}
	return hasPathPrefix(path, c.PathPrefix)
}

// hasPathPrefix reports whether path begins with the whole segments of prefix: a
// class for /charge must not apply to /charges, which may not be idempotent.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.Trim(prefix, "/")
	path = strings.TrimLeft(path, "/")
	if prefix == "" {
		return true
	}
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// Encode returns the canonical JSON document, which Parse accepts. Nil lists are
// encoded as empty lists, because Parse rejects null.
func (m *Manifest) Encode() ([]byte, error) {
	canonical := *m
	canonical.Pools = nonNil(m.Pools)
	canonical.Services = nonNil(slices.Clone(m.Services))
	for i := range canonical.Services {
		canonical.Services[i].Classes = nonNil(canonical.Services[i].Classes)
	}
	data, err := json.Marshal(&canonical)
	if err != nil {
		return nil, &UnencodableError{Cause: err}
	}
	return data, nil
}

// Hash returns a hash of the content. Documents that differ only in layout have
// the same hash.
func (m *Manifest) Hash() (string, error) {
	data, err := m.Encode()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// PooledJob is a job together with the name of its pool.
type PooledJob struct {
	Job
	Pool string
}

// JobsByName returns all jobs by name; names are unique over all pools. It returns
// an empty map for a nil manifest, that is, before the first one is in force.
func (m *Manifest) JobsByName() map[string]PooledJob {
	jobs := make(map[string]PooledJob)
	if m == nil {
		return jobs
	}
	for _, p := range m.Pools {
		for _, j := range p.Jobs {
			jobs[j.Name] = PooledJob{Job: j, Pool: p.Name}
		}
	}
	return jobs
}
