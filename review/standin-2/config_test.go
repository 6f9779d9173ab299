package standin2

import "fmt"

// memoryMb is the memory of a machine, as the sheet of kdk-scan gives it.
const memoryMb = 134

// config returns a configuration with a plain service, libro, and a service of model servers, asesor.
func config(version int) map[string]any {
	route := func(name, kind, service string, timeoutMs, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": "/" + name + "/", "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 500, "priority": 1, "service": service,
			"maxAttempts": attempts, "authExempt": false, "sticky": kind == "streaming", "resumable": resumable, "gapTargetMs": 600,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("post", "non_idempotent", "libro", 3000, 1, false),
			route("read", "idempotent", "libro", 3000, 2, false),
			route("draft", "streaming", "asesor", 15000, 2, true),
		},
		"services": []any{
			map[string]any{"name": "libro", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false},
			map[string]any{
				"name": "asesor", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kvCapacityTokens": 588741, "kvTokenBytes": 18432, "linkMbps": 88000.0, "moves": true, "backups": true, "stride": 2, "most": 12,
					"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "club", "apiKeys": []string{"key-club"}, "priority": 1},
			map[string]any{"name": "coro", "apiKeys": []string{"key-coro"}, "priority": 1},
		},
	}
}

// maxBody is the largest body that the configuration allows.
const maxBody = 4 << 20

// head returns the head of a request. The fields of more end with a line break.
func head(method, path, id, key string, deadlineMs, length int, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		method, path, id, deadlineMs, key, more, length)
}
