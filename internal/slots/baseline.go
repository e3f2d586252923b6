package slots

// OwnCount is the baseline: an entry looks only at its own requests in flight
// and takes all slots of an instance for its own.
type OwnCount struct{ slots map[string]int }

// NewOwnCount returns the baseline for the given instances.
func NewOwnCount(instances []Instance) *OwnCount {
	b := &OwnCount{slots: map[string]int{}}
	for _, i := range instances {
		b.slots[i.ID] = i.Slots
	}
	return b
}

// Allowed returns how many requests may be in flight to an instance from here.
func (b *OwnCount) Allowed(instance string) int { return b.slots[instance] }
