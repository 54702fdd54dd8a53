# Sourced by the scripts in this directory; sets JAVA_HOME to a JDK of release 25 or later.
required_release=25

jdk_release() {
  "$1/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p'
}

select_jdk() {
  local candidate release
  for candidate in "${JAVA_HOME:-}" /usr/lib/jvm/* /opt/java/* "$HOME"/.sdkman/candidates/java/*; do
    [ -n "$candidate" ] && [ -x "$candidate/bin/javac" ] || continue
    release=$(jdk_release "$candidate")
    if [ -n "$release" ] && [ "$release" -ge "$required_release" ]; then
      export JAVA_HOME="$candidate"
      return 0
    fi
  done
  echo "snipeslip: no JDK of release $required_release or later found; install one or set JAVA_HOME" >&2
  return 1
}

select_jdk || exit 69
