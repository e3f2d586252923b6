package keys_test

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"cyclamenwheel/internal/dispatch"
)

// keyState is what the sequential model knows of a key.
type keyState struct {
	// ran tells that the charge has run; run is its number in the history, 0
	// while no caller has been told.
	ran bool
	run int
}

// operation is what a caller sent.
type operation struct {
	key string
	// faulty tells that something had failed by the time of the reply.
	faulty bool
}

// keyModel is the sequential model of keys. The first charge of a key runs and
// every caller gets the answer of that run, for ever. Once something has failed
// a caller may be told that the outcome is unknown, or get no reply; its charge
// may then have run or not. Who is told that a charge ran can only be told so
// after it did. One told that it did not run has changed nothing.
var keyModel = (&porcupine.NondeterministicModel{
	Partition: byKey,
	Init:      func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		return step(state.(keyState), input.(operation), output.(reply))
	},
	Equal: func(a, b any) bool { return a.(keyState) == b.(keyState) },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %s", input, output)
	},
}).ToModel()

func step(s keyState, op operation, r reply) []any {
	switch {
	case r.answered():
		return answer(s, r.answer.Run)
	case r.refused() && r.problem.Ran == dispatch.RanNo:
		if r.problem.Type == dispatch.TypeKeyConflict {
			return nil // no key here belongs to two requests
		}
		return []any{s}
	case r.refused() && r.problem.Ran == dispatch.RanYes:
		if !s.ran {
			return nil
		}
		return []any{s}
	case !op.faulty:
		return nil
	case s.ran:
		return []any{s}
	default:
		return []any{s, keyState{ran: true}}
	}
}

func answer(s keyState, run int) []any {
	if s.run != 0 && s.run != run {
		return nil
	}
	return []any{keyState{ran: true, run: run}}
}

func byKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[string][]porcupine.Operation{}
	for _, op := range history {
		key := op.Input.(operation).key
		parts[key] = append(parts[key], op)
	}
	var out [][]porcupine.Operation
	for _, part := range parts {
		out = append(out, part)
	}
	return out
}
