package manifest

import (
	"net/http"
	"path"
	"strings"
)

var knownMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

func (v *validator) services() {
	seen := make(map[string]bool)
	for i := range v.m.Services {
		s := &v.m.Services[i]
		at := index("services", i)
		v.name(join(at, "name"), s.Name)
		v.unique(join(at, "name"), s.Name, seen)
		v.budget(at, s)
		v.classes(join(at, "classes"), s.Classes)
	}
}

// budget refuses what can never hold. A budget equal to the pool's size is
// allowed: maintenance then waits until a spare has been moved in.
func (v *validator) budget(at string, s *Service) {
	pool, known := v.m.ForPool(s.Pool)
	if !known {
		v.add(join(at, "pool"), ReasonUnknownPool, "pool %q is not declared", s.Pool)
	}
	if s.MinAvailable < 1 {
		v.add(join(at, "min_available"), ReasonOutOfRange, "%d: a service needs at least 1", s.MinAvailable)
	}
	if known && s.MinAvailable > pool.Instances.Size() {
		v.add(join(at, "min_available"), ReasonBudgetUnmeetable, "%d instances must serve, pool %q has %d",
			s.MinAvailable, s.Pool, pool.Instances.Size())
	}
}

func (v *validator) classes(at string, classes []Class) {
	if len(classes) == 0 {
		v.add(at, ReasonNoClasses, "a service needs at least one class")
	}
	seen := make(map[string]bool)
	for i := range classes {
		v.class(index(at, i), &classes[i], seen)
	}
}

func (v *validator) class(at string, c *Class, seen map[string]bool) {
	v.name(join(at, "name"), c.Name)
	v.unique(join(at, "name"), c.Name, seen)
	for i, method := range c.Methods {
		if !knownMethods[method] {
			v.add(index(join(at, "methods"), i), ReasonUnknownMethod, "%q is not an HTTP method in upper case", method)
		}
	}
	v.pathPrefix(join(at, "path_prefix"), c.PathPrefix)
	v.priority(join(at, "priority"), c.Priority)
	v.between(join(at, "deadline_ms"), c.DeadlineMillis, 1, MaxDeadlineMillis)
}

// pathPrefix takes clean paths only: a prefix that no cleaned request path can
// have would leave its class without effect.
func (v *validator) pathPrefix(at, prefix string) {
	if prefix == "" {
		return
	}
	trimmed := strings.TrimSuffix(prefix, "/")
	clean := trimmed == "" || path.Clean(trimmed) == trimmed
	if !strings.HasPrefix(prefix, "/") || !clean || strings.ContainsAny(prefix, "?#") {
		v.add(at, ReasonMalformedPath, "%q is not a clean path that begins with '/'", prefix)
	}
}
