package dispatch

// Active returns how many callers' requests are under way.
func (h *Handler) Active() int {
	h.calls.mu.Lock()
	defer h.calls.mu.Unlock()
	return h.calls.active
}
