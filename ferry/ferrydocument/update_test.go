package ferrydocument_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryservice"
)

// nextLong returns the next version of a, with a text long enough to be sent as a delta.
func nextLong(a ferryservice.Accepted, team string) ferryservice.Accepted {
	next := after(a, team)
	next.Source += "# "
	for range 400 {
		next.Source += "sheep and goats "
	}
	next.Source += "\n"
	return next
}

func cborRoundTrip(t *testing.T, u ferrydocument.Update) ferrydocument.Update {
	t.Helper()
	b, err := cbor.Marshal(u)
	assert.NilError(t, err)
	var out ferrydocument.Update
	assert.NilError(t, cbor.Unmarshal(b, &out))
	return out
}

func TestUpdatesUseDeltaIfReceiverHasBase(t *testing.T) {
	v1 := nextLong(ferryservice.Accepted{}, "a")
	v2 := nextLong(v1, "b")
	v3 := nextLong(v2, "c")
	for _, tc := range []struct {
		name    string
		holds   []ferryservice.Accepted
		refuses bool
		delta   bool
	}{
		{"predecessor", []ferryservice.Accepted{v1, v2}, false, true},
		{"an older version", []ferryservice.Accepted{v1}, false, false},
		{"nothing", nil, false, false},
		{"an older release", []ferryservice.Accepted{v1, v2}, true, false},
		{"another branch", []ferryservice.Accepted{v1, nextLong(v1, "other")}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ahead, _ := newHolder()
			for _, v := range []ferryservice.Accepted{v1, v2, v3} {
				ahead.Offer(v, "store")
			}
			behind, _ := newHolder()
			for _, v := range tc.holds {
				behind.Offer(v, "store")
			}
			d := behind.Digest()
			for i := range d {
				d[i].AcceptsDeltas = !tc.refuses
			}
			us := ahead.Updates(d)
			assert.Equal(t, len(us), 1)
			assert.Equal(t, len(us[0].Delta) > 0, tc.delta)
			assert.Equal(t, us[0].Source == "", tc.delta)
			v, err := behind.OfferUpdate(cborRoundTrip(t, us[0]), "peer")
			assert.NilError(t, err)
			if tc.name == "another branch" {
				assert.Equal(t, v, ferrydocument.Forked)
				return
			}
			assert.Equal(t, v, ferrydocument.Taken)
			f, _ := behind.Get(v3.Service)
			assert.DeepEqual(t, f.Accepted, v3)
			if !tc.delta {
				return
			}
			third, _ := newHolder()
			third.Offer(v2, "store")
			again := behind.Updates(third.Digest())
			assert.DeepEqual(t, again[0].Delta, us[0].Delta)
		})
	}
}

func TestWholeUpdateEncodesLikeAccepted(t *testing.T) {
	a := nextLong(ferryservice.Accepted{}, "a")
	old, err := cbor.Marshal(a)
	assert.NilError(t, err)
	now, err := cbor.Marshal(ferrydocument.Update{Accepted: a})
	assert.NilError(t, err)
	assert.DeepEqual(t, old, now)
}

func TestInvalidUpdateIsRefused(t *testing.T) {
	v1 := nextLong(ferryservice.Accepted{}, "a")
	v2 := nextLong(v1, "b")
	ahead, _ := newHolder()
	ahead.Offer(v1, "store")
	ahead.Offer(v2, "store")
	behind, _ := newHolder()
	behind.Offer(v1, "store")
	good := ahead.Updates(behind.Digest())[0]
	other := nextLong(v1, "c")
	for _, tc := range []struct {
		name    string
		change  func(u *ferrydocument.Update)
		verdict ferrydocument.Verdict
	}{
		{"truncated delta", func(u *ferrydocument.Update) { u.Delta = u.Delta[:len(u.Delta)-1] }, ferrydocument.Invalid},
		{"garbage", func(u *ferrydocument.Update) { u.Delta = []byte("sheep") }, ferrydocument.Invalid},
		{"one bit flipped", func(u *ferrydocument.Update) {
			u.Delta = append([]byte{}, u.Delta...)
			u.Delta[len(u.Delta)/2] ^= 1
		}, ferrydocument.Invalid},
		{"another result", func(u *ferrydocument.Update) { u.Result = other.Hash() }, ferrydocument.Invalid},
		{"another apply id", func(u *ferrydocument.Update) { u.ApplyID = "x" }, ferrydocument.Invalid},
		{"another base", func(u *ferrydocument.Update) { u.Base = other.Hash() }, ferrydocument.NoBase},
		{"no base", func(u *ferrydocument.Update) { u.Base = "" }, ferrydocument.NoBase},
		{"another service", func(u *ferrydocument.Update) { u.Service = "other" }, ferrydocument.NoBase},
		{"neither text nor delta", func(u *ferrydocument.Update) { u.Delta = nil }, ferrydocument.Invalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := cborRoundTrip(t, good)
			tc.change(&u)
			v, err := behind.OfferUpdate(u, "peer")
			assert.Equal(t, v, tc.verdict)
			if err != nil {
				assert.ErrorType(t, err, &ferrydocument.DeltaError{})
			}
			f, _ := behind.Get(v1.Service)
			assert.Equal(t, f.Hash, v1.Hash())
		})
	}
	v, err := behind.OfferUpdate(good, "peer")
	assert.NilError(t, err)
	assert.Equal(t, v, ferrydocument.Taken)
}

func FuzzTake(f *testing.F) {
	v1 := nextLong(ferryservice.Accepted{}, "a")
	v2 := nextLong(v1, "b")
	ahead, _ := newHolder()
	ahead.Offer(v1, "store")
	behind, _ := newHolder()
	behind.Offer(v1, "store")
	ahead.Offer(v2, "store")
	for _, u := range append(ahead.Updates(behind.Digest()), ferrydocument.Update{Accepted: v2}) {
		b, err := cbor.Marshal(u)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var u ferrydocument.Update
		if cbor.Unmarshal(b, &u) != nil {
			return
		}
		h, _ := newHolder()
		h.Offer(v1, "store")
		v, err := h.OfferUpdate(u, "peer")
		in, _ := h.Get(v1.Service)
		if v == ferrydocument.Taken && u.Service == v1.Service {
			assert.Assert(t, len(u.Delta) == 0 || in.Hash == u.Result)
			return
		}
		assert.Equal(t, in.Hash, v1.Hash())
		assert.Assert(t, err == nil || v == ferrydocument.Invalid)
	})
}
