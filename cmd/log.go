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
	return zap.New(core), nil
}
