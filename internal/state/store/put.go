package store

import (
	"context"
	"strconv"
	"strings"
	"time"

	"hickorypath/internal/core/kind"
)

// Put writes a key under a condition and returns the new revision.
//
// The error has kind Conflict when the condition did not hold, Store when nothing was
// written, and OutcomeUnknown when the outcome could not be resolved in time.
func (c *Client) Put(ctx context.Context, key string, value []byte, cond Condition) (uint64, error) {
	return c.PutLeased(ctx, key, value, cond, 0)
}

// PutLeased is like Put, and the key is removed when the lease ends.
func (c *Client) PutLeased(ctx context.Context, key string, value []byte, cond Condition, lease uint64) (uint64, error) {
	era, _ := c.shared.eras.current()
	env := c.shared.lastWrite(key).nextEnvelope(c.shared.nonce(), value, cond, inEra(era, 0))
	data, err := encodeEnvelope(env)
	if err != nil {
		return 0, err
	}
	if lease == 0 {
		c.shared.journal.attempt(c.shared.opts.Clock.Boot(), key)
	}
	w := Write{Key: key, Value: data, Cond: cond, Lease: lease}
	rev, err := c.write(ctx, w, env.Nonce)
	if err == nil {
		c.shared.rememberWrite(key, rev, env)
		if lease == 0 {
			c.shared.journal.record(c.shared.opts.Clock.Boot(), EraOf(rev), key, env)
			if era, _ := c.Era(); era > 0 && !c.shared.checking.Swap(true) {
				time.AfterFunc(restoreCheckDelay, c.shared.checkForRestore)
			}
		}
	}
	return rev, err
}

// write repeats a write until its outcome is known or Options.TotalTimeout is over. Repeating is safe, because an
// attempt without a response is first looked up by the nonce, and because the service accepts at most one of several
// copies under a condition of mode ModeAt, or of mode ModeAbsent while nobody deletes the key.
func (c *Client) write(ctx context.Context, w Write, nonce string) (uint64, error) {
	ctx, wait := c.shared.newRetryTimer(ctx, opPut)
	defer wait.cancel()
	if _, err := c.shared.eras.localCondition(w.Cond); err != nil {
		return 0, err
	}
	inDoubt := false
	for {
		if w.Lease == 0 {
			if err := c.awaitRecovery(ctx); err != nil {
				return 0, timeoutError(err, inDoubt)
			}
		}
		rev, final, err := c.attempt(ctx, w, nonce, &inDoubt)
		if final {
			return rev, err
		}
		if !wait.pause(ctx) {
			return 0, timeoutError(err, inDoubt)
		}
	}
}

// attempt makes one attempt of a write. If inDoubt is set, an earlier attempt got no response: attempt first reads
// the key back and writes only if the earlier attempt had no effect. If final is set, the outcome is rev and err.
func (c *Client) attempt(ctx context.Context, w Write, nonce string, inDoubt *bool) (rev uint64, final bool, err error) {
	if *inDoubt {
		rev, final, err = c.readBack(ctx, w, nonce)
		if final || err != nil {
			return rev, final, err
		}
	}
	err = c.call(ctx, opPut, func(ctx context.Context) (err error) {
		rev, err = c.shared.backend.Put(ctx, w)
		return err
	})
	if *inDoubt && !isTransient(err) && err != nil {
		rev, _, err = c.readBack(ctx, w, nonce)
		return rev, true, readBackError(rev, err, w.Key)
	}
	*inDoubt = *inDoubt || kind.Of(err) == kind.OutcomeUnknown
	return rev, !isTransient(err), err
}

// readBackError returns err, or an error of kind OutcomeUnknown if readBack could not tell that the write took effect.
func readBackError(rev uint64, err error, key string) error {
	if rev == 0 && err == nil {
		return outcomeHiddenError(key)
	}
	return err
}

// readBack reads the key of a write that got no response, to find out whether the write took effect. If final is set,
// the outcome is rev and err. If neither final nor err is set, the write has had no effect yet and may be repeated.
func (c *Client) readBack(ctx context.Context, w Write, nonce string) (rev uint64, final bool, err error) {
	e, env, err := c.read(ctx, w.Key, c.call)
	if kind.Of(err) == kind.Missing {
		if w.Cond.mode == ModeAbsent {
			return 0, false, nil
		}
		return 0, true, outcomeHiddenError(w.Key)
	}
	if err != nil {
		return 0, false, kind.Wrap(err, kind.OutcomeUnknown, "write of %s is in doubt", w.Key)
	}
	if rev, ok := env.revisionOf(nonce, e.revision); ok {
		return rev, true, nil
	}
	if w.Cond.mode == ModeAt && e.revision == w.Cond.revision {
		return 0, false, nil
	}
	if w.Cond.mode != ModeAny && env.coversSince(w.Cond) {
		return 0, true, kind.New(kind.Conflict, "%s was changed by another writer", w.Key)
	}
	return 0, true, outcomeHiddenError(w.Key)
}

// Delete removes a key under a condition. A key that does not exist is no error.
func (c *Client) Delete(ctx context.Context, key string, cond Condition) error {
	ctx, wait := c.shared.newRetryTimer(ctx, opDelete)
	defer wait.cancel()
	if _, err := c.shared.eras.localCondition(cond); err != nil {
		return err
	}
	inDoubt := false
	for {
		if err := c.awaitRecovery(ctx); err != nil {
			return timeoutError(err, inDoubt)
		}
		err := c.call(ctx, opDelete, func(ctx context.Context) error {
			return c.shared.backend.Delete(ctx, key, cond)
		})
		if err == nil {
			c.shared.journal.forget(key)
		}
		if kind.Of(err) == kind.Missing {
			return nil
		}
		if !isTransient(err) {
			return err
		}
		inDoubt = inDoubt || kind.Of(err) == kind.OutcomeUnknown
		if !wait.pause(ctx) {
			return timeoutError(err, inDoubt)
		}
	}
}

// outcomeHiddenError returns the error of a write whose outcome can no longer be found out, because later writes
// have replaced the envelope that named it.
func outcomeHiddenError(key string) error {
	return kind.New(kind.OutcomeUnknown, "later writes hide the outcome of the write of %s", key)
}

func timeoutError(err error, inDoubt bool) error {
	if inDoubt {
		return kind.Wrap(err, kind.OutcomeUnknown, "outcome not known in time")
	}
	return kind.Wrap(err, kind.Store, "not written")
}

func (c *sharedState) nonce() string {
	return c.noncePrefix + "-" + strconv.FormatUint(c.nonceSeq.Add(1), nonceSeqBase)
}

const nonceSeqBase = 36

// nonceSeq returns the number of a nonce; own is false for a nonce of another client.
func nonceSeq(nonce, prefix string) (seq uint64, own bool) {
	digits, ok := strings.CutPrefix(nonce, prefix+"-")
	if !ok {
		return 0, false
	}
	seq, err := strconv.ParseUint(digits, nonceSeqBase, 64)
	return seq, err == nil
}
