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

func (v *validator) checkServices() {
	seen := make(map[string]bool)
	for i := range v.m.Services {
		s := &v.m.Services[i]
		at := indexPath("services", i)
		v.checkName(joinPath(at, "name"), s.Name)
		v.checkUnique(joinPath(at, "name"), s.Name, seen)
		v.checkBudget(at, s)
		v.checkClasses(joinPath(at, "classes"), s.Classes)
	}
}

// checkBudget rejects budgets that can never be met. A budget equal to the size of
// the pool is allowed: maintenance then waits until a spare has been moved in.
func (v *validator) checkBudget(at string, s *Service) {
	pool, known := v.m.FindPool(s.Pool)
	if !known {
		v.addFault(joinPath(at, "pool"), ReasonUnknownPool, "pool %q is not declared", s.Pool)
	}
	if s.MinAvailable < 1 {
		v.addFault(joinPath(at, "min_available"), ReasonOutOfRange, "%d: a service needs at least 1", s.MinAvailable)
	}
	if known && s.MinAvailable > pool.Instances.Size() {
		v.addFault(joinPath(at, "min_available"), ReasonBudgetUnmeetable, "%d instances must be serving, but pool %q has %d",
			s.MinAvailable, s.Pool, pool.Instances.Size())
	}
}

func (v *validator) checkClasses(at string, classes []Class) {
	if len(classes) == 0 {
		v.addFault(at, ReasonNoClasses, "a service needs at least one class")
	}
	seen := make(map[string]bool)
	for i := range classes {
		v.checkClass(indexPath(at, i), &classes[i], seen)
	}
}

func (v *validator) checkClass(at string, c *Class, seen map[string]bool) {
	v.checkName(joinPath(at, "name"), c.Name)
	v.checkUnique(joinPath(at, "name"), c.Name, seen)
	for i, method := range c.Methods {
		if !knownMethods[method] {
			v.addFault(indexPath(joinPath(at, "methods"), i), ReasonUnknownMethod, "%q is not an HTTP method in upper case", method)
		}
	}
	v.checkPathPrefix(joinPath(at, "path_prefix"), c.PathPrefix)
	v.checkPriority(joinPath(at, "priority"), c.Priority)
	v.checkRange(joinPath(at, "deadline_ms"), c.DeadlineMillis, 1, MaxDeadlineMillis)
}

// checkPathPrefix accepts only clean paths: request paths are cleaned, so any other
// prefix would never match.
func (v *validator) checkPathPrefix(at, prefix string) {
	if prefix == "" {
		return
	}
	trimmed := strings.TrimSuffix(prefix, "/")
	clean := trimmed == "" || path.Clean(trimmed) == trimmed
	if !strings.HasPrefix(prefix, "/") || !clean || strings.ContainsAny(prefix, "?#") {
		v.addFault(at, ReasonMalformedPath, "%q is not a clean path that starts with '/'", prefix)
	}
}
