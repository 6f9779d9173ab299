package upstream

// Load is the JSON response to `GET /load`.
type Load struct {
	Running    int     `json:"running"`
	Waiting    int     `json:"waiting"`
	CacheUsage float64 `json:"kv"`               // used fraction of the prefix cache, 0 to 1
	Age        int     `json:"age"`              // age of the load report in milliseconds
	Offset     *int    `json:"offset,omitempty"` // number of output tokens produced for the request named by the id query parameter
}
