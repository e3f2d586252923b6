package slots

// OwnCount is the baseline: an entry considers only its own requests in flight
// and uses all slots of every instance.
type OwnCount struct{ slots map[string]int }

// NewOwnCount returns an OwnCount for the given instances.
func NewOwnCount(instances []Instance) *OwnCount {
	b := &OwnCount{slots: map[string]int{}}
	for _, i := range instances {
		b.slots[i.ID] = i.Slots
	}
	return b
}

// Allowed returns how many requests this entry may have in flight to an
// instance.
func (b *OwnCount) Allowed(instance string) int { return b.slots[instance] }
