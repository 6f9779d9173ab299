package vault_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/vault"
	"hickorypath/internal/platform/store"
)

// A document of 29,000 customers passes the default budgets of the store's client within the time of a change.
func TestFullSizeWithinBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := store.NewMemory(clock.NewWall())
		open := func() *vault.Vault {
			client := store.New(memory.Backend(), store.Options{Clock: clock.NewWall()})
			return vault.New(vault.Options{Store: vault.NewStore(client), Now: time.Now})
		}
		writer, reader := open(), open()
		took := func(fn func() error) time.Duration {
			start := time.Now()
			is.NoErr(fn())
			return time.Since(start)
		}
		first := took(func() error {
			_, err := writer.Put(ctx, vault.Change{Source: large(customers, -1), Operator: "maria"})
			return err
		})
		load := func() error { _, _, err := reader.Load(ctx); return err }
		cold := took(load)
		time.Sleep(time.Minute) // the budgets fill up again
		change := took(func() error {
			_, err := writer.Put(ctx, vault.Change{Base: 1, Source: large(customers, 7), Operator: "maria"})
			return err
		})
		warm := took(load)
		t.Logf("in virtual time: first write %v, cold read %v, one customer changed %v, read of the change %v", first, cold, change, warm)
		is.True(first < 20*time.Second)
		is.True(cold < 20*time.Second)
		is.True(change < time.Second && warm < time.Second)
	})
}

// The vault over the platform's client and its stand-in, with the faults of the store itself.
func TestOverStoreClient(t *testing.T) {
	cases := []struct {
		name   string
		faults store.Faults
		want   kind.Kind
	}{
		{"none", store.Faults{}, ""},
		{"answers lost after taking effect", store.Faults{Lose: 3}, ""},
		{"calls lost before taking effect", store.Faults{Drop: 2}, ""},
		{"down", store.Faults{Down: true}, kind.Store},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				memory := store.NewMemory(clock.NewWall())
				client := store.New(memory.Backend(), store.Options{Clock: clock.NewWall(), Rand: rand.New(rand.NewPCG(1, 2))})
				v := vault.New(vault.Options{Store: vault.NewStore(client), Now: time.Now})
				_, err := v.Put(ctx, vault.Change{Source: source(1), Operator: "maria"})
				is.NoErr(err)
				memory.Set(c.faults)
				_, err = v.Put(ctx, vault.Change{Base: 1, Source: source(2), Operator: "maria"})
				is.Equal(kind.Of(err), c.want)
				_, _, err = v.Issue(ctx, "laredo")
				is.Equal(kind.Of(err), c.want)
				memory.Set(store.Faults{})
				list, err := v.History(ctx, 0, 10)
				is.NoErr(err)
				keys, err := v.Keys(ctx)
				is.NoErr(err)
				if c.want == "" {
					is.Equal(len(list), 2)
					is.Equal(len(keys), 1)
				}
			})
		})
	}
}
