package config_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/gateway/config"
)

func ExampleConfig_Match() {
	c := config.New(1, []*config.Route{
		{Name: "all", Host: "h.example", Prefix: "/"},
		{Name: "deep", Host: "h.example", Prefix: "/a/b/"},
	}, nil, nil, config.Limits{})
	fmt.Println(c.Match("h.example", "/a/b/c").Name)
	fmt.Println(c.Match("H.example:80", "/a/b").Name)
	fmt.Println(c.Match("other.example", "/a/b/c") == nil)
	// Output:
	// deep
	// all
	// true
}

func TestOlderVersionsAreRejected(t *testing.T) {
	is := is.New(t)
	l := config.NewLive()
	for _, c := range []struct {
		version int64
		taken   bool
	}{{3, true}, {2, false}, {3, false}, {11, true}, {4, false}} {
		is.Equal(l.StoreIfNewer(config.New(c.version, nil, nil, nil, config.Limits{})), c.taken)
	}
	is.Equal(l.Load().Version(), int64(11))
}
