package eventlog

import (
	"bytes"
	"math"
	"math/rand/v2"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// mapFields returns the fields of an event keyed by their JSON names.
func mapFields(event Event) logrus.Fields {
	fields := logrus.Fields{}
	value := reflect.ValueOf(event)
	for index := range value.NumField() {
		name, options, _ := strings.Cut(value.Type().Field(index).Tag.Get("json"), ",")
		field := value.Field(index)
		if options == "omitempty" && field.IsZero() {
			continue
		}
		fields[name] = field.Interface()
	}
	return fields
}

// setRandom sets a value to a random one, the zero value in one of three cases.
func setRandom(random *rand.Rand, value reflect.Value) {
	if random.IntN(3) == 0 {
		value.SetZero()
		return
	}
	switch value.Kind() {
	case reflect.String:
		texts := []string{"results", "a \"quoted\" name", "<b>&</b>", "line\nbreak\x01\t", "schön \u2028 \xff", "\\"}
		value.SetString(texts[random.IntN(len(texts))])
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int64:
		value.SetInt(random.Int64() - random.Int64())
	case reflect.Uint64:
		value.SetUint(random.Uint64())
	case reflect.Float64:
		numbers := []float64{0.1, -3, 812.345, 1e-7, 1e21, 1e300, 123456789.125, random.Float64()}
		value.SetFloat(numbers[random.IntN(len(numbers))])
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), random.IntN(3), 3))
		for i := range value.Len() {
			setRandom(random, value.Index(i))
		}
	case reflect.Struct:
		for i := range value.NumField() {
			setRandom(random, value.Field(i))
		}
	default:
		panic("no random value of kind " + value.Kind().String())
	}
}

// Guards against lines that differ from those of the logging library, on which readers of the log
// depend: order and names of fields, escapes, numbers, and what is left out.
func TestLinesEqualThoseOfTheLibrary(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	var want, got bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&want)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	writer := newLineWriter(&got)
	zones := []*time.Location{time.UTC, time.FixedZone("east", 5400)}
	for range 300 {
		for _, empty := range All() {
			event := reflect.New(reflect.TypeOf(empty)).Elem()
			for i := range event.NumField() {
				setRandom(random, event.Field(i))
			}
			at := time.Unix(random.Int64N(1<<32), random.Int64N(1e9)).In(zones[random.IntN(2)])
			filled := event.Interface().(Event)
			fields := mapFields(filled)
			fields["node"] = "node-3"
			logger.WithTime(at).WithFields(fields).Info(filled.Kind())
			g.Expect(writer.writeEvent("node-3", at, filled)).To(Succeed())
			g.Expect(writer.Flush()).To(Succeed())
			g.Expect(got.String()).To(Equal(want.String()))
			want.Reset()
			got.Reset()
		}
	}
}

// failingWriter fails the first writes.
type failingWriter struct {
	failures int
	bytes.Buffer
}

func (w *failingWriter) Write(data []byte) (int, error) {
	if w.failures > 0 {
		w.failures--
		return 0, syscall.EAGAIN
	}
	return w.Buffer.Write(data)
}

// Guards against a log that stays silent after one failed write or one value that cannot be encoded.
func TestLinesAfterAnErrorAreWritten(t *testing.T) {
	g := NewWithT(t)
	output := &failingWriter{failures: 1}
	log := New("n", output)
	log.Add(Node{Change: strings.Repeat("x", 5000)}, State)
	log.flush()
	log.Add(Request{Price: math.NaN()}, Failure)
	log.Add(Request{Request: "next"}, Failure)
	log.flush()
	lines := parseLines(t, output.String())
	g.Expect(lines).To(HaveLen(1))
	g.Expect(lines[0]["request"]).To(Equal("next"))
}
