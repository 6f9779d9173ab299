package usage

// recentRequests holds the ids of the requests that were recorded in the current and the previous window.
type recentRequests struct {
	window            int64
	current, previous map[string]struct{}
}

// seen adds an id and reports whether it had been added before. An empty id is never a duplicate.
func (r *recentRequests) seen(id string, window int64) bool {
	if id == "" {
		return false
	}
	if r.current == nil || window > r.window {
		r.previous, r.current, r.window = r.current, map[string]struct{}{}, window
	}
	_, now := r.current[id]
	_, last := r.previous[id]
	r.current[id] = struct{}{}
	return now || last
}
