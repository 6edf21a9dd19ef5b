package cmd

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLog returns a logger that writes one logfmt line per event.
func newLog(w io.Writer, level string) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	encoderConfig.TimeKey, encoderConfig.MessageKey = "time", "event"
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig), zapcore.Lock(zapcore.AddSync(w)), minLevel)
	return zap.New(errorTextCore{core}), nil
}

// errorTextCore logs errors by their message only, without the stack trace that they carry.
type errorTextCore struct{ zapcore.Core }

// With returns a core with additional fields.
func (c errorTextCore) With(fields []zapcore.Field) zapcore.Core {
	return errorTextCore{c.Core.With(errorsToText(fields))}
}

// Check adds the core to checked if the level of e is enabled.
func (c errorTextCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write logs an entry.
func (c errorTextCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, errorsToText(fields))
}

// errorsToText replaces error fields by string fields with the error's message.
func errorsToText(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		out[i] = f
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			out[i] = zap.String(f.Key, err.Error())
		}
	}
	return out
}
