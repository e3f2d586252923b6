package idempotency

import "slices"

// View is the membership by which keys have owners. While it changes, Pending
// holds the members to come: a key whose owner differs between the two has no
// owner until every entry has acknowledged the change. Otherwise two entries
// with different views could each grant the same key, which the fold settles
// in ordinary times but nobody does while the log can't be reached.
type View struct {
	Members []Member `json:"members"`
	// Pending is nil where no change is under way.
	Pending []Member `json:"pending,omitempty"`
}

// changing tells whether a change is under way.
func (v View) changing() bool { return v.Pending != nil }

// owner returns the member that owns key for certain. An entry that has just
// joined has no Members before its first change has ended: others may know of
// that end before it and ask it already, so it says that the owner is changing.
func (v View) owner(key KeyHash) (Member, error) {
	owner, owned := ownerOf(key, v.Members)
	next, follows := ownerOf(key, v.Pending)
	if !owned && !follows {
		return Member{}, &NoOwnerError{}
	}
	if v.changing() && next != owner {
		return Member{}, &ChangingOwnerError{From: owner.ID, To: next.ID}
	}
	return owner, nil
}

// owns tells whether m, under its boot id, owns key for certain.
func (v View) owns(m Member, key KeyHash) bool {
	owner, err := v.owner(key)
	return err == nil && owner.ID == m.ID && owner.BootID == m.BootID
}

// witness returns the member that is to hold key's claims beside its owner.
func (v View) witness(key KeyHash, owner Member) (Member, bool) {
	witness, ok := witnessOf(key, v.Members, owner)
	if !ok || !v.changing() || slices.Contains(v.Pending, witness) {
		return witness, ok
	}
	return Member{}, false
}

func (v View) equal(o View) bool {
	return slices.Equal(v.Members, o.Members) && slices.Equal(v.Pending, o.Pending) && v.changing() == o.changing()
}

// has tells whether the process is a member under its boot id.
func (v View) has(id, boot string) bool {
	match := func(m Member) bool { return m.ID == id && m.BootID == boot }
	return slices.ContainsFunc(v.Members, match) || slices.ContainsFunc(v.Pending, match)
}
