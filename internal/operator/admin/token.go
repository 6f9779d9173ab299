package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
)

// Token is an operator's name with the SHA-256 hash of the operator's secret.
type Token struct {
	operator string
	hash     [sha256.Size]byte
}

// NewToken returns the token for an operator and a secret.
func NewToken(operator, secret string) Token {
	return Token{operator: operator, hash: sha256.Sum256([]byte(secret))}
}

// tokens is the list of accepted tokens.
type tokens []Token

// newTokens returns list without the tokens that have an empty secret, which an unset environment variable
// would produce.
func newTokens(list []Token) tokens {
	empty := sha256.Sum256(nil)
	var kept tokens
	for _, t := range list {
		if t.hash != empty {
			kept = append(kept, t)
		}
	}
	return kept
}

// operator returns the name of the operator whose token has the secret. The secret is compared with every token, each
// in constant time, so that the duration does not reveal which token matches.
func (t tokens) operator(secret string) (string, bool) {
	hash := sha256.Sum256([]byte(secret))
	found, operator := 0, ""
	for i := range t {
		same := subtle.ConstantTimeCompare(hash[:], t[i].hash[:])
		if same == 1 {
			operator = t[i].operator
		}
		found |= same
	}
	return operator, found == 1
}

type operatorKey struct{}

// operatorOf returns the name of the operator who was authenticated for the request of ctx.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// unauthenticatedPaths lists the paths that need no token: health probes and metrics reveal no customer data.
var unauthenticatedPaths = map[string]bool{"/healthz": true, "/readyz": true, "/metrics": true}

func (srv *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if unauthenticatedPaths[r.URL.Path] {
			next.ServeHTTP(w, r)
			return
		}
		operator, ok := srv.tokens.operator(secretOf(r))
		if !ok {
			srv.log.Warn("operator request rejected: unknown or missing token", zap.String("path", r.URL.Path), zap.String("kind", string(kind.Unauthorized)))
			w.Header().Set("WWW-Authenticate", `Basic realm="operators of hickorypath"`)
			writeError(w, kind.New(kind.Unauthorized, "give an operator's token as a bearer token; to read, also as the password of basic authentication"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

// secretOf returns the operator's secret from a request: a bearer token or, for GET and HEAD only, the password of
// basic authentication. A browser also sends a stored password with requests that other sites trigger (CSRF), so a
// password does not authorize requests that change state.
func secretOf(r *http.Request) string {
	if _, password, ok := r.BasicAuth(); ok {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			return ""
		}
		return password
	}
	secret, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return secret
}

func writeError(w http.ResponseWriter, err error) {
	f := newResponseError(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.GetStatus())
	_ = json.NewEncoder(w).Encode(f)
}
