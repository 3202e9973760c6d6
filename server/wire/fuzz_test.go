package wire

import (
	"net/http"
	"reflect"
	"testing"
	"time"
)

func FuzzDecodeWork(f *testing.F) {
	f.Add("")
	f.Add("e30")
	f.Add("!!!")
	f.Fuzz(func(t *testing.T, value string) {
		work, err := DecodeWork(http.Header{HeaderWork: {value}})
		if err != nil {
			return
		}
		encoded, err := work.Encode()
		if err != nil {
			return
		}
		again, err := DecodeWork(http.Header{HeaderWork: {encoded}})
		if err != nil {
			t.Fatalf("decode of encoded work failed: %v", err)
		}
		work.Deadline, again.Deadline = time.Time{}, time.Time{}
		if !reflect.DeepEqual(work, again) {
			t.Fatalf("work %+v became %+v after encoding and decoding", work, again)
		}
	})
}
