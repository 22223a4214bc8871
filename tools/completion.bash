# Completion for bash: `source tools/completion.bash`. It knows the commands, their options, and the scenarios.
_brookrelay() {
    local word="${COMP_WORDS[COMP_CWORD]}" before="${COMP_WORDS[COMP_CWORD - 1]}" command="${COMP_WORDS[1]}"
    local words=""
    case "$before" in
        --config | --operator | --daemon | --out | check)
            mapfile -t COMPREPLY < <(compgen -f -- "$word")
            return
            ;;
        --log-format)
            mapfile -t COMPREPLY < <(compgen -W "human json" -- "$word")
            return
            ;;
    esac
    if [ "$COMP_CWORD" -eq 1 ]; then
        words="serve rehearse check explore fleet registry --help --version"
    elif [ "$command" = serve ]; then
        words="--config --operator --log-format --help"
    elif [ "$command" = explore ]; then
        words="--zones --limits --depth --help"
    elif [ "$command" = fleet ]; then
        words="status zones limits --address --json --leave --take-back --help"
    elif [ "$command" = rehearse ] && [ "${COMP_WORDS[2]}" = load ] && [ "$COMP_CWORD" -gt 2 ]; then
        words="--daemon --clients --rate --seconds --rounds --value-bytes --help"
    elif [ "$command" = rehearse ]; then
        local root="${COMP_WORDS[0]%/*}/../scenarios"
        words="load $(cd "$root" 2>/dev/null && ls -- *.toml 2>/dev/null | sed 's/\.toml$//') --daemon --seeds --set --jobs --out --quiet --help"
    fi
    mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
}
complete -F _brookrelay brookrelay
