package idempotency

import "slices"

// View is the membership that determines the owners of keys. During a change,
// Pending holds the new members. A key whose owner differs between the two has no
// owner until every entry has acknowledged the change. Otherwise two entries with
// different views could each grant the same key: the fold resolves that while the
// log is available, but nothing does during an outage.
type View struct {
	Members []Member `json:"members"`
	// Pending is nil if no change is in progress.
	Pending []Member `json:"pending,omitempty"`
}

func (v View) isChanging() bool { return v.Pending != nil }

// owner returns the member that certainly owns key. An entry that has just joined
// has no Members until its first change ends, but other entries may see that end
// earlier and send it claims, so the error then says that the owner is changing.
func (v View) owner(key KeyHash) (Member, error) {
	owner, owned := ownerOf(key, v.Members)
	next, nextOwned := ownerOf(key, v.Pending)
	if !owned && !nextOwned {
		return Member{}, &NoOwnerError{}
	}
	if v.isChanging() && next != owner {
		return Member{}, &ChangingOwnerError{From: owner.ID, To: next.ID}
	}
	return owner, nil
}

// owns reports whether m, with its boot ID, certainly owns key.
func (v View) owns(m Member, key KeyHash) bool {
	owner, err := v.owner(key)
	return err == nil && owner.ID == m.ID && owner.BootID == m.BootID
}

// witness returns the member that holds key's claims besides its owner.
func (v View) witness(key KeyHash, owner Member) (Member, bool) {
	witness, ok := witnessOf(key, v.Members, owner)
	if !ok || !v.isChanging() || slices.Contains(v.Pending, witness) {
		return witness, ok
	}
	return Member{}, false
}

func (v View) equal(o View) bool {
	return slices.Equal(v.Members, o.Members) && slices.Equal(v.Pending, o.Pending) && v.isChanging() == o.isChanging()
}

// hasMember reports whether the process is a current or pending member with that
// boot ID.
func (v View) hasMember(id, boot string) bool {
	match := func(m Member) bool { return m.ID == id && m.BootID == boot }
	return slices.ContainsFunc(v.Members, match) || slices.ContainsFunc(v.Pending, match)
}
