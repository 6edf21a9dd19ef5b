package cmd

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLog returns a log that writes one line of key=value pairs for each event.
func newLog(w io.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	conf := zap.NewProductionEncoderConfig()
	conf.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	conf.EncodeDuration = zapcore.StringDurationEncoder
	conf.TimeKey, conf.MessageKey = "time", "event"
	core := zapcore.NewCore(zaplogfmt.NewEncoder(conf), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(shortErrors{core}), nil
}

// shortErrors writes errors as their text, without the stack that they carry.
type shortErrors struct{ zapcore.Core }

// With returns a core with further fields.
func (c shortErrors) With(fields []zapcore.Field) zapcore.Core {
	return shortErrors{c.Core.With(shorten(fields))}
}

// Check adds the core to an entry that it writes.
func (c shortErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write writes an entry.
func (c shortErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, shorten(fields))
}

func shorten(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		out[i] = f
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			out[i] = zap.String(f.Key, err.Error())
		}
	}
	return out
}
