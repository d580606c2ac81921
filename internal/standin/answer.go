package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the i-th token of the answer to a prompt. Each answer follows
// from its prompt, so that a client can check that it got its own and all of it.
func Token(promptHash uint64, i int) string {
	h := xxhash.Sum64String(strconv.FormatUint(promptHash, 36) + "/" + strconv.Itoa(i))
	return strconv.FormatUint(h%46656, 36) + " "
}

// PromptHash returns the hash that answers are derived from.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Answer returns the whole answer of n tokens.
func Answer(prompt string, n int) string {
	h := PromptHash(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(h, i))
	}
	return b.String()
}

// ServiceAnswer returns the answer of a service to a call.
func ServiceAnswer(path, body string) string {
	return strconv.FormatUint(xxhash.Sum64String(path+"\n"+body), 36)
}
