package peer

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"knapweedstall/core/message"
	"knapweedstall/core/topology"
)

func sampleFrame() Frame {
	id := message.SubID{Request: message.RequestID{Entry: topology.InstanceRef{ID: "a", Incarnation: 7}, Seq: 3}, Service: "s"}
	return Frame{Bodies: []message.Body{
		message.Hello{Member: topology.Member{Ref: topology.InstanceRef{ID: "b", Incarnation: 9}, Address: "127.0.0.1:1"}},
		message.CancelSub{ID: id},
	}}
}

func mustEncode(t testing.TB, f Frame) []byte {
	t.Helper()
	data, err := Encode(f)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestRoundTrip guards against a field that is lost by encoding or decoding.
func TestRoundTrip(t *testing.T) {
	want := sampleFrame()
	got, err := Decode(mustEncode(t, want))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestMalformedFrames guards against using a part of a malformed frame.
func TestMalformedFrames(t *testing.T) {
	complete := mustEncode(t, sampleFrame())
	frames := map[string][]byte{
		"empty":        nil,
		"garbage":      []byte("\xff\x00"),
		"trailing":     append(bytes.Clone(complete), 0),
		"unknown type": {0x82, 0xa0, 0x81, 0x82, 0x18, 0xfe, 0xa0}, // [{}, [[254, {}]]]
		"wrong body":   {0x82, 0xa0, 0x81, 0x82, 0x01, 0x61, 0x78}, // [{}, [[1, "x"]]]
		"long array":   {0x82, 0xa0, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	}
	for n := range complete {
		frames["cut at "+string(rune('0'+n%10))+"/"+string(rune('0'+n/10))] = complete[:n]
	}
	for name, data := range frames {
		f, err := Decode(data)
		var e *FrameError
		if !errors.As(err, &e) || len(f.Bodies) > 0 {
			t.Errorf("%s: got %+v, %v", name, f, err)
		}
	}
}

// FuzzDecode guards against bytes of a peer that crash the instance, against errors of
// another type than *FrameError, and against decoded frames that can't be encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x82, 0xa0, 0x80})
	f.Add(mustEncode(f, sampleFrame()))
	f.Add(mustEncode(f, Frame{Bodies: []message.Body{message.Gossip{}, message.SubReply{}, message.LeaseRenewal{}, message.TableBuckets{}, message.Tickets{}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := Decode(data)
		if err != nil {
			var e *FrameError
			if !errors.As(err, &e) {
				t.Fatalf("%T is not a *FrameError: %v", err, err)
			}
			return
		}
		if _, err := Encode(frame); err != nil {
			t.Fatal(err)
		}
	})
}
