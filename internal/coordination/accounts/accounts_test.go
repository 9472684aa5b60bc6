package accounts

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a key that finds another account, and against a longest key that is cut.
func TestAKeyFindsItsAccountOnly(t *testing.T) {
	c := qt.New(t)
	longest := strings.Repeat("k", MaxKeyBytes)
	catalogue := NewCatalogue([]Account{
		{Name: "a", Keys: []Digest{DigestOf("a1"), DigestOf(longest)}},
		{Name: "b", Keys: []Digest{DigestOf("b1"), DigestOf("a1")}},
		{Unusable: true},
	})
	for key, want := range map[string]string{"a1": "a", longest: "a", "b1": "b", longest + "k": "", longest[1:]: "", "": "", "A1": ""} {
		a, ok := catalogue.Lookup(key)
		c.Check(ok, qt.Equals, want != "", qt.Commentf(key))
		if ok {
			c.Check(a.Name, qt.Equals, want)
		}
	}
	c.Assert(NewCatalogue(nil), qt.IsNil)
	c.Assert(DigestOf(longest+"k"), qt.Equals, Digest(sha256.Sum256([]byte(longest+"k"))))
	c.Assert(DigestOf("a1").Fingerprint(), qt.Equals, "f55ff16f")
}

// benchAccounts returns accounts with one key each, and the keys.
func benchAccounts(n int) ([]Account, []string) {
	list, keys := make([]Account, n), make([]string, n)
	for i := range list {
		keys[i] = fmt.Sprintf("sk-%040d", i)
		list[i] = Account{Name: fmt.Sprint(i), Keys: []Digest{DigestOf(keys[i])}}
	}
	return list, keys
}

func BenchmarkNewCatalogue(b *testing.B) {
	for _, n := range []int{16, 1000, 100_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			list, _ := benchAccounts(n)
			b.ReportAllocs()
			for b.Loop() {
				NewCatalogue(list)
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{16, 1000, 100_000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			list, keys := benchAccounts(n)
			catalogue := NewCatalogue(list)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, ok := catalogue.Lookup(keys[i*7919%n]); !ok {
					b.Fatal("key not found")
				}
			}
		})
	}
}
