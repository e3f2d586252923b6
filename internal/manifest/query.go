package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
)

// Size is the number of instances that the selection asks for.
func (s Selection) Size() int {
	if len(s.IDs) > 0 {
		return len(s.IDs)
	}
	return s.Count
}

// ForPool returns the pool of that name.
func (m *Manifest) ForPool(name string) (*Pool, bool) {
	for i := range m.Pools {
		if m.Pools[i].Name == name {
			return &m.Pools[i], true
		}
	}
	return nil, false
}

// ForService returns the service of that name.
func (m *Manifest) ForService(name string) (*Service, bool) {
	for i := range m.Services {
		if m.Services[i].Name == name {
			return &m.Services[i], true
		}
	}
	return nil, false
}

// ServicesOf returns the services that the pool answers.
func (m *Manifest) ServicesOf(pool string) []*Service {
	var services []*Service
	for i := range m.Services {
		if m.Services[i].Pool == pool {
			services = append(services, &m.Services[i])
		}
	}
	return services
}

// MinAvailable is the strictest availability budget of the pool's services; 0
// for a pool that answers none.
func (m *Manifest) MinAvailable(pool string) int {
	strictest := 0
	for _, s := range m.ServicesOf(pool) {
		strictest = max(strictest, s.MinAvailable)
	}
	return strictest
}

// ClassFor returns the first class whose methods and path prefix match. path
// is below the service's own path. A request that no class matches is unknown
// to the manifest; the caller must not take it for idempotent.
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
	return underPrefix(path, c.PathPrefix)
}

// underPrefix compares whole path segments: a class for /charge must not apply
// to /charges, which may differ in whether it is idempotent.
func underPrefix(path, prefix string) bool {
	prefix = strings.Trim(prefix, "/")
	path = strings.TrimLeft(path, "/")
	if prefix == "" {
		return true
	}
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// Encode returns the canonical document, which Parse takes again. Lists that
// are nil become empty ones: Parse refuses null.
func (m *Manifest) Encode() ([]byte, error) {
	canonical := *m
	canonical.Pools = orEmpty(m.Pools)
	canonical.Services = orEmpty(slices.Clone(m.Services))
	for i := range canonical.Services {
		canonical.Services[i].Classes = orEmpty(canonical.Services[i].Classes)
	}
	data, err := json.Marshal(&canonical)
	if err != nil {
		return nil, &UnencodableError{Cause: err}
	}
	return data, nil
}

// Hash identifies the content: documents that differ in layout only have the
// same one.
func (m *Manifest) Hash() (string, error) {
	data, err := m.Encode()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// PooledJob is a job with the pool that runs it.
type PooledJob struct {
	Job
	Pool string
}

// JobsByName returns all jobs; their names are unique over all pools. A nil
// manifest, before the first is in force, has none.
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
