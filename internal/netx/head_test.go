package netx

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// malformedHeads are heads that net/http reads, or may read, without an error.
var malformedHeads = []string{
	"HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 001 X\r\n\r\n", "HTTP/1.1 099 X\r\n\r\n", "HTTP/1.1 +20 X\r\n\r\n", "HTTP/1.1 600 X\r\n\r\n", "HTTP/1.1 999 X\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 20\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n",
}

// Guards against heads that are none of the protocol, and soundness that is denied to others.
func TestMalformedHeadsAreNotSound(t *testing.T) {
	check := func(head string) (read, sound bool) {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		if err != nil {
			return false, false
		}
		err = CheckHead(resp)
		var malformed *MalformedHeadError
		if err != nil && !errors.As(err, &malformed) {
			t.Errorf("%q: %v", head, err)
		}
		return true, err == nil
	}
	for _, head := range malformedHeads {
		if _, sound := check(head); sound {
			t.Errorf("%q is sound", head)
		}
	}
	for c := range 256 {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX%cOdd: 1\r\n\r\n", rune(c))
		if c >= 0x80 {
			head = "HTTP/1.1 200 OK\r\nX" + string([]byte{byte(c)}) + "Odd: 1\r\n\r\n"
		}
		_, sound := check(head)
		token := c > ' ' && c < 0x7f && !strings.ContainsRune("\"(),/:;<=>?@[\\]{}", rune(c))
		if want := token || c == ':'; sound != want { // after a colon, the rest is the value
			t.Errorf("%q: sound %v", head, sound)
		}
	}
	for _, status := range []int{100, 101, 200, 204, 299, 304, 404, 503, 599} {
		if _, sound := check(fmt.Sprintf("HTTP/1.1 %d X\r\nX-Odd_1!#$%%&'*+.^`|~: 1\r\n\r\n", status)); !sound {
			t.Errorf("status %d is not sound", status)
		}
	}
}
