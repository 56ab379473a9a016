package ferryservice_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cactusferry.dev/ferry/ferryservice"
)

func TestDocuments(t *testing.T) {
	for _, name := range []string{"model", "plain", "faulty-model", "faulty-plain"} {
		t.Run(name, func(t *testing.T) {
			b, err := os.ReadFile("testdata/" + name + ".toml")
			assert.NilError(t, err)
			d, err := ferryservice.Decode(name, b)
			out, jsonErr := json.MarshalIndent(d, "", " ")
			assert.NilError(t, jsonErr)
			if err != nil {
				out = []byte(err.Error())
			}
			golden.Assert(t, string(out)+"\n", name+".golden")
		})
	}
}

const head = "Service = \"s\"\nTeam = \"t\"\nKind = \"Plain\"\n"

func TestFieldFaults(t *testing.T) {
	upstream := func(address string) string {
		return fmt.Sprintf("[[Upstreams]]\nName = \"u\"\nAddress = %q\nFailureDomain = \"d\"\n", address)
	}
	customer := func(key string) string {
		return fmt.Sprintf("[[Customers]]\nName = \"c\"\nKeySHA256 = [%q]\n", key)
	}
	tests := []struct{ name, text, want string }{
		{"valid", upstream("10.0.0.1:80"), ""},
		{"IPv6 address", upstream("[::1]:80"), ""},
		{"address with port 0", upstream("10.0.0.1:0"), "line 6: Upstreams[0].Address"},
		{"unspecified address", upstream("0.0.0.0:80"), "line 6: Upstreams[0].Address"},
		{"host name as address", upstream("runner:80"), "line 6: Upstreams[0].Address"},
		{"digest", customer(strings.Repeat("0a", 32)), ""},
		{"upper-case digest", customer(strings.Repeat("0A", 32)), "line 6: Customers[0].KeySHA256"},
		{"short digest", customer("0a"), "line 6: Customers[0].KeySHA256"},
		{"deadline without a unit", "[Limits]\nDeadline = 60\n", "line 5: Limits.Deadline: must be a string with a unit"},
		{"deadline too long", "[Limits]\nDeadline = \"25h\"\n", "line 5: Limits.Deadline"},
		{"negative deadline", "[Limits]\nDeadline = \"-1s\"\n", "line 5: Limits.Deadline"},
		{"share not a number", "[Limits]\nRetryShare = nan\n", "line 5: Limits.RetryShare"},
		{"infinite share", "[Limits]\nRetryShare = inf\n", "line 5: Limits.RetryShare"},
		{"class shares not a number", "[[Classes]]\nName = \"c\"\nReservedShare = nan\n", "line 6: Classes[0].ReservedShare"},
		{"class shares over 1", "[[Classes]]\nName = \"c\"\nMaxTokens = 1\nReservedShare = 0.6\n[[Classes]]\nName = \"e\"\nReservedShare = 0.6\n", "add up to 1.2"},
		{"malformed path pattern", "[[Routes]]\nMethod = \"GET\"\nPath = \"/[\"\n", "line 6: Routes[0].Path"},
		{"too many classes", strings.Repeat("[[Classes]]\n", 17), "Classes: must be at most 16, are 17"},
		{"too many routes", strings.Repeat("[[Routes]]\n", 1001), "Routes: must be at most 1000"},
		{"too many upstreams", strings.Repeat("[[Upstreams]]\n", 4001), "Upstreams: must be at most 4000"},
		{"too many customers", strings.Repeat("[[Customers]]\n", 10001), "Customers: must be at most 10000"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ferryservice.Decode("f", []byte(head+tt.text))
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func TestCustomerIndex(t *testing.T) {
	// A customer with two keys, "barn" and "parlour".
	text := head + `[[Customers]]
Name = "kravets"
KeySHA256 = ["` + digest("barn") + `", "` + digest("parlour") + `"]
`
	d, err := ferryservice.Decode("f", []byte(text))
	assert.NilError(t, err)
	x := d.Customers.Index()
	for _, key := range []string{"barn", "parlour"} {
		cu, ok := x.Customer(key)
		assert.Assert(t, ok)
		assert.Equal(t, cu.Name, d.Customers[0].Name)
	}
	for _, key := range []string{"", "Barn", digest("barn")} {
		_, ok := x.Customer(key)
		assert.Assert(t, !ok, key)
	}
}

func FuzzDecode(f *testing.F) {
	for _, name := range []string{"model", "plain", "faulty-model", "faulty-plain"} {
		b, err := os.ReadFile("testdata/" + name + ".toml")
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := ferryservice.Decode("f", b)
		if err != nil {
			return
		}
		if d.Service == "" || d.Limits.Deadline <= 0 || !(d.Limits.RetryShare >= 0 && d.Limits.RetryShare <= 1) {
			t.Fatalf("invalid document accepted: %+v", d)
		}
	})
}

func FuzzDecodeAccepted(f *testing.F) {
	a := ferryservice.Accepted{Service: "s", Generation: 1, Source: head}
	next := a.Successor()
	next.Service, next.Source = "s", head
	for _, v := range []ferryservice.Accepted{a, next} {
		b, err := json.Marshal(v)
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := ferryservice.DecodeAccepted(b)
		if err != nil {
			return
		}
		if a.Generation == 0 || a.Successor().Generation != a.Generation+1 || a.Successor().DescendsFrom(a.Generation, a.Hash()) != ferryservice.Descends {
			t.Fatalf("invalid version accepted: %+v", a)
		}
	})
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
